/** Random faults of machines, disks, clocks and links, and the replacement of lost disks. */
import type { RaftCluster } from './raft-cluster.js';
import { Replacement } from './replacement.js';

const SLOWEST_DISK = 60;
const LONGEST_FREEZE = 4_000;
/** How far a clock may run off. */
const SLOWEST_CLOCK = 0.8;
const FASTEST_CLOCK = 1.25;
const LOSS = 0.05;
const MOST_LATENCY = 120;
/** In which a replacement must be done once nothing fails any more. Milliseconds. */
const REPLACEMENT_LIMIT = 120_000;

export class RandomFaults {
  crashes = 0;
  replacements = 0;
  private replacement: Replacement | undefined;

  /** @param ids - the members that count at present; changed in place by replacements. */
  constructor(
    private readonly cluster: RaftCluster,
    private readonly ids: string[],
  ) {}

  /** Does one thing, or nothing. */
  async act(): Promise<void> {
    const { cluster } = this;
    const choice = cluster.random.nextInteger(0, 17);
    if (choice <= 1) this.crash(this.anyId());
    else if (choice <= 4) await this.restartOne();
    else if (choice === 5) cluster.links.cut(this.anyId(), this.anyId());
    else if (choice === 6) cluster.links.cut(this.anyId(), this.anyId(), false);
    else if (choice === 7) cluster.links.isolate(this.leaderId() ?? this.anyId());
    else if (choice === 8) cluster.links.heal();
    else if (choice === 9) this.crashSoon();
    else if (choice === 10) this.slowDisk();
    else if (choice === 11) this.freeze();
    else if (choice === 12) await this.powerCut();
    else if (choice === 13) this.worsenLink();
    else if (choice === 14) await this.loseDisk();
  }

  /** Kills the member that leads, if one does. */
  crashLeader(): void {
    const leaderId = this.leaderId();
    if (leaderId !== undefined) this.crash(leaderId);
  }

  /** Ends all faults and waits until a lost member is replaced. */
  async healAll(): Promise<void> {
    const { cluster } = this;
    cluster.links.heal();
    for (const id of this.ids) cluster.member(id).disk.crashAt = Infinity;
    for (const id of this.stopped()) await this.start(id);
    const { replacement } = this;
    if (replacement === undefined) return;
    const done = await cluster.runUntil(() => replacement.done, REPLACEMENT_LIMIT);
    if (!done) throw new Error(`not replaced: ${replacement.describe()}`);
    this.finishReplacement();
  }

  leaderId(): string | undefined {
    return this.ids.find((id) => this.cluster.member(id).node?.status().role === 'leader');
  }

  anyId(): string {
    return this.ids[this.cluster.random.nextInteger(0, this.ids.length - 1)] ?? '';
  }

  private crash(id: string): void {
    if (this.cluster.member(id).node === undefined) return;
    this.crashes += 1;
    if (this.cluster.random.nextInteger(0, 1) === 0) this.cluster.crash(id);
    else this.cluster.losePower(id);
  }

  private slowDisk(): void {
    const { random } = this.cluster;
    const { volume } = this.cluster.member(this.anyId()).machine;
    volume.faults.slowness = random.nextInteger(1, SLOWEST_DISK);
  }

  /** The process stands still, as in a pause of a virtual machine. */
  private freeze(): void {
    const { machine } = this.cluster.member(this.anyId());
    machine.freeze(this.cluster.random.nextInteger(1, LONGEST_FREEZE));
  }

  private worsenLink(): void {
    const { random, simulation } = this.cluster;
    const properties = { loss: LOSS, latency: random.nextInteger(1, MOST_LATENCY) };
    simulation.changeLink({ to: { machine: this.anyId() } }, properties);
  }

  /** All members lose power at once, and come back. */
  private async powerCut(): Promise<void> {
    await this.cluster.runFor(this.cluster.random.nextInteger(1, 30));
    for (const id of this.ids) this.crash(id);
    for (const id of this.ids) if (id !== this.replacement?.lostId) await this.start(id);
  }

  /** Dies in the middle of one of its next disk operations. */
  private crashSoon(): void {
    const { disk, node } = this.cluster.member(this.anyId());
    if (node === undefined) return;
    this.crashes += 1;
    disk.crashAt = disk.operations + this.cluster.random.nextInteger(1, 12);
  }

  private async restartOne(): Promise<void> {
    const stopped = this.stopped();
    const id = stopped[this.cluster.random.nextInteger(0, Math.max(0, stopped.length - 1))];
    if (id !== undefined) await this.start(id);
  }

  private async start(id: string): Promise<void> {
    const { random } = this.cluster;
    const { machine } = this.cluster.member(id);
    machine.drift(SLOWEST_CLOCK + random.nextFloat() * (FASTEST_CLOCK - SLOWEST_CLOCK));
    await this.cluster.start(id);
  }

  private stopped(): string[] {
    const { lostId } = this.replacement ?? {};
    return this.ids.filter((id) => id !== lostId && this.cluster.member(id).node === undefined);
  }

  /** One at a time: the next disk may be lost once the last one is replaced. */
  private async loseDisk(): Promise<void> {
    if (this.replacement?.done === true) this.finishReplacement();
    if (this.replacement !== undefined) return;
    const lostId = this.anyId();
    this.crash(lostId);
    this.replacement = new Replacement(this.cluster, this.ids, lostId);
    // The folder comes back empty under the old id, which must do no harm.
    await this.cluster.start(lostId, { keepDisk: false });
  }

  private finishReplacement(): void {
    const { lostId, newId } = this.replacement ?? {};
    if (lostId === undefined || newId === undefined) return;
    this.ids.splice(this.ids.indexOf(lostId), 1, newId);
    this.replacements += 1;
    this.replacement = undefined;
  }
}
