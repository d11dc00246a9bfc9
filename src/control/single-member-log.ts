/**
 * A replicated log of one member, in one append-only file: what stands here
 * until the consensus node is wired in. Nothing is applied before it is synced.
 */
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { xxh64 } from '@node-rs/xxhash';
import type {
  CommittedCommand,
  ReplicatedLog,
  ReplicatedLogStatus,
  StateMachine,
} from '../consensus/replicated-log.js';
import { DiskError } from '../errors/disk-error.js';
import type { AppendFile, Disk } from '../seams/disk.js';

const LOG_FILE = 'single-member.log';

/** Length (4 bytes) and checksum (8 bytes) before each command. */
const RECORD_HEADER_BYTES = 12;
const CHECKSUM_OFFSET = 4;

function encodeRecord(command: Uint8Array): Buffer {
  const record = Buffer.alloc(RECORD_HEADER_BYTES + command.length);
  record.writeUInt32BE(command.length, 0);
  record.writeBigUInt64BE(xxh64(command), CHECKSUM_OFFSET);
  record.set(command, RECORD_HEADER_BYTES);
  return record;
}

/** The command at `offset`, or undefined when there is no whole and sound one. */
function readRecord(bytes: Buffer, offset: number): Buffer | undefined {
  if (bytes.length - offset < RECORD_HEADER_BYTES) return undefined;
  const start = offset + RECORD_HEADER_BYTES;
  const end = start + bytes.readUInt32BE(offset);
  if (end > bytes.length) return undefined;
  const command = bytes.subarray(start, end);
  const sound = xxh64(command) === bytes.readBigUInt64BE(offset + CHECKSUM_OFFSET);
  return sound ? command : undefined;
}

/** {@link ReplicatedLog} without peers. */
export class SingleMemberLog implements ReplicatedLog {
  readonly applied: Stream<number>;
  private readonly emitApplied: (index: number) => void;
  private lastIndex = 0;
  private tail: Promise<unknown> = Promise.resolve();
  private failure: DiskError | undefined;

  private constructor(
    private readonly file: AppendFile,
    private readonly stateMachine: StateMachine,
    private readonly memberId: string,
    private readonly address: string,
  ) {
    [this.emitApplied, this.applied] = createAdapter<number>();
  }

  /**
   * Replays the file into the state machine. A torn last record is cut off.
   *
   * @throws DiskError when the file cannot be read, or is damaged before its end.
   */
  static async open(
    disk: Disk,
    stateMachine: StateMachine,
    memberId: string,
    address: string,
  ): Promise<SingleMemberLog> {
    const bytes = Buffer.from((await disk.read(LOG_FILE)) ?? []);
    const file = await disk.openAppend(LOG_FILE);
    await disk.syncDirectory('.');
    const log = new SingleMemberLog(file, stateMachine, memberId, address);
    await log.replay(bytes);
    return log;
  }

  async propose(command: Uint8Array): Promise<CommittedCommand> {
    const committed = this.tail.then(() => this.appendAndApply(command));
    this.tail = committed.catch(() => undefined);
    return committed;
  }

  async readBarrier(): Promise<void> {
    await this.tail;
  }

  status(): ReplicatedLogStatus {
    const { memberId, address, lastIndex } = this;
    return {
      memberId,
      role: 'leader',
      term: 1,
      leaderId: memberId,
      commitIndex: lastIndex,
      appliedIndex: lastIndex,
      lastIndex,
      sinceQuorumMs: 0,
      members: [{ memberId, address, voter: true, matchIndex: lastIndex }],
    };
  }

  async close(): Promise<void> {
    await this.tail;
    await this.file.close();
  }

  private async replay(bytes: Buffer): Promise<void> {
    let offset = 0;
    for (;;) {
      const command = readRecord(bytes, offset);
      if (command === undefined) break;
      this.lastIndex += 1;
      this.stateMachine.apply(command, this.lastIndex);
      offset += RECORD_HEADER_BYTES + command.length;
    }
    if (offset === bytes.length) return;
    await this.file.truncate(offset);
    await this.file.sync();
  }

  private async appendAndApply(command: Uint8Array): Promise<CommittedCommand> {
    // After a failed sync nobody knows what the file holds.
    if (this.failure !== undefined) throw this.failure;
    try {
      await this.file.append(encodeRecord(command));
      await this.file.sync();
    } catch (error) {
      this.failure = error instanceof DiskError ? error : new DiskError('append', LOG_FILE, error);
      throw this.failure;
    }
    this.lastIndex += 1;
    const index = this.lastIndex;
    const result = this.stateMachine.apply(command, index);
    this.emitApplied(index);
    return { index, result };
  }
}
