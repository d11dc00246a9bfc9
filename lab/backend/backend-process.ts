/** Everything one `driftway-lab backend` process runs. */
import { writeFile } from 'node:fs/promises';
import type { Logger } from '../../src/observability/logger.js';
import { formatAddress } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import { BackendLedger } from '../ledger/backend-ledger.js';
import { PlatformAgent } from '../platform/platform-agent.js';
import { BackendControl } from './backend-control.js';
import { BackendGroup } from './backend-group.js';
import { toBackendOptions, type BackendProcessFile } from './backend-process-file.js';

/** Started replicas with their control port. */
export class BackendProcess {
  private constructor(
    private readonly group: BackendGroup,
    private readonly control: BackendControl,
    private readonly agent: PlatformAgent | undefined,
    private readonly ledgerFile: string | undefined,
  ) {}

  static async start(
    environment: Environment,
    file: BackendProcessFile,
    logger: Logger,
  ): Promise<BackendProcess> {
    const ledger = new BackendLedger(environment.clock);
    const replicas = file.replicas.map((replica) => toBackendOptions(replica, ledger));
    const agent =
      file.platformList === undefined
        ? undefined
        : new PlatformAgent(environment.network, file.platformList);
    const group = await BackendGroup.start(environment, ledger, replicas, async (machine) =>
      agent?.tell(machine),
    );
    const control = await BackendControl.start(environment, file.control, group);
    logger.info('listening', {
      control: formatAddress(control.address),
      replicas: file.replicas.length,
    });
    return new BackendProcess(group, control, agent, file.ledgerFile);
  }

  /** A planned stop: every replica drains and answers what is in flight. */
  async stop(): Promise<void> {
    await this.group.stop();
    await this.agent?.close();
    await this.control.stop();
    await this.writeLedger();
  }

  private async writeLedger(): Promise<void> {
    if (this.ledgerFile === undefined) return;
    const { entries, events, holdings } = this.group.ledger;
    await writeFile(this.ledgerFile, JSON.stringify({ entries, events, holdings }));
  }
}
