/** The operator commands against two controllers over HTTP, in one process. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import { createAdministrationHandler } from '../../src/administration/administration-handler.js';
import type { MemberAdministration } from '../../src/administration/member-administration.js';
import { runDriftway } from '../../src/commands/driftway.js';
import { MembershipChangeRefusedError } from '../../src/consensus/consensus-errors.js';
import { CONTROLLER_HTTP_OPTIONS } from '../../src/control/controller-http.js';
import { NodeClock } from '../../src/node/node-clock.js';
import { NodeNetwork } from '../../src/node/node-network.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import { OperatorExitCode } from '../../src/operator/operator-error.js';
import { formatAddress, type Address } from '../../src/seams/address.js';
import type { HttpListener } from '../../src/seams/http.js';
import type { Operation } from '../../src/settings/change.js';
import { hashToken } from '../../src/settings/token-text.js';
import { BOOTSTRAP_TOKEN } from '../administration/controllers.js';
import { SectionTag, sectionCommand } from '../../src/consensus/sectioned-state-machine.js';
import { encodeRouteDocument } from '../../src/routes/route-document-register.js';
import type { CrashEvidence } from '../../src/quarantine/quarantine-entry.js';
import { NO_EVIDENCE, QuarantineChangeKind } from '../../src/quarantine/quarantine-register.js';
import { MemoryHistory, type MemoryLog, type ProposalFault } from '../administration/memory-log.js';
import { DOHOKU } from '../settings/fixtures.js';

/** Late, and silent for longer than its lease. */
const ROUTER = {
  name: 'router-1',
  revision: 1,
  zone: 'nayoro',
  version: '0.1.0',
  silentMs: 20_000,
};

/** What one command line did. */
export interface Run {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Notes what is asked of it; knows everyone but nobody. */
class RecordedMembers implements MemberAdministration {
  readonly calls: string[] = [];

  async addLearner(memberId: string, address: string): Promise<void> {
    this.calls.push(`add ${memberId} ${address}`);
  }

  async promote(memberId: string): Promise<void> {
    this.calls.push(`promote ${memberId}`);
  }

  async remove(memberId: string): Promise<void> {
    if (memberId === 'nobody') throw new MembershipChangeRefusedError('"nobody" is no member');
    this.calls.push(`remove ${memberId}`);
  }
}

/** Two controllers of one history, and a folder for files. */
export class OperatorFixture {
  readonly members = new RecordedMembers();
  private readonly history = new MemoryHistory();
  private listeners: HttpListener[] = [];
  private folder = '';

  static async start(): Promise<OperatorFixture> {
    const fixture = new OperatorFixture();
    fixture.folder = await mkdtemp(join(tmpdir(), 'driftway-operator-'));
    const logs = ['controller-1', 'controller-2'].map((id) => fixture.history.addMember(id));
    fixture.listeners = await Promise.all(logs.map((log) => fixture.listen(log)));
    return fixture;
  }

  get addresses(): readonly Address[] {
    return this.listeners.map(({ address }) => address);
  }

  async stop(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.close()));
    await rm(this.folder, { recursive: true });
  }

  /** Has the next proposal at every controller fail. */
  failNext(fault: ProposalFault): void {
    for (const log of this.history.members) log.nextFault = fault;
  }

  /** Has the next proposal at the controller that is asked first fail. */
  failNextAtFirst(fault: ProposalFault): void {
    const [first] = this.history.members;
    if (first !== undefined) first.nextFault = fault;
  }

  loseQuorum(): void {
    this.history.loseQuorum();
  }

  run(...commandLine: string[]): Promise<Run> {
    return this.runAs(BOOTSTRAP_TOKEN, ...commandLine);
  }

  async runAs(token: string | undefined, ...commandLine: string[]): Promise<Run> {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const env = {
      DRIFTWAY_CONTROLLERS: this.addresses.map(formatAddress).join(','),
      DRIFTWAY_TOKEN: token,
      DRIFTWAY_AUTHOR: 'sato',
    };
    const code = await runDriftway(commandLine, { stdout, stderr, env });
    const read = (stream: PassThrough): string => String(stream.read() ?? '');
    return { code, stdout: read(stdout), stderr: read(stderr) };
  }

  async writeFile(content: unknown): Promise<string> {
    const file = join(this.folder, 'file.yaml');
    await writeFile(file, JSON.stringify(content));
    return file;
  }

  writeOperations(operations: readonly Operation[], extra = {}): Promise<string> {
    return this.writeFile({ ...extra, operations });
  }

  /** Makes revision 1. */
  async createDohoku(): Promise<void> {
    const file = await this.writeOperations(DOHOKU);
    const { code, stderr } = await this.run('settings', 'apply', '-f', file);
    expect(stderr).toContain('--change-id');
    expect(code).toBe(OperatorExitCode.Success);
  }

  /** Records replicas that ended under a request. */
  async quarantine(evidence: CrashEvidence): Promise<void> {
    const [log] = this.history.members;
    await log?.quarantineOrders.propose([
      { ...NO_EVIDENCE, kind: QuarantineChangeKind.Evidence, ...evidence },
    ]);
  }

  /** Puts a route document in force. */
  async putRoutes(document: {
    readonly version: number;
    readonly [field: string]: unknown;
  }): Promise<void> {
    const { version } = document;
    const content = Buffer.from(JSON.stringify(document));
    const [log] = this.history.members;
    await log?.propose(
      sectionCommand(SectionTag.RouteDocument, encodeRouteDocument({ version, content })),
    );
  }

  private listen(log: MemoryLog): Promise<HttpListener> {
    const handler = createAdministrationHandler({
      log,
      machine: log.machine,
      evacuations: log.evacuationOrders,
      quarantine: log.quarantineOrders,
      routeDocument: log.routeDocument,
      clock: new NodeClock(),
      logger: SILENT_LOGGER,
      registry: new Registry(),
      bootstrapTokenHash: hashToken(BOOTSTRAP_TOKEN),
      members: this.members,
      forces: { inForce: () => ({ daemons: [ROUTER] }) },
    });
    const address = { host: '127.0.0.1', port: 0 };
    return new NodeNetwork().listenHttp(address, CONTROLLER_HTTP_OPTIONS, handler);
  }
}
