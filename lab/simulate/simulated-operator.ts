/** One operator of a simulated fleet: sends changes twice, and again while their end is unknown. */
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError } from '../../src/operator/operator-error.js';
import type { Operation } from '../../src/settings/change.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import { chance, pick } from './fault-plan.js';
import type { Fleet } from './fleet.js';
import type { OperatorLedger, OperatorOutcome } from './operator-ledger.js';
import { OPERATOR_TOKEN } from './simulated-daemons.js';

const ATTEMPT_TIMEOUT = 2_000;
const TOTAL_TIMEOUT = 20_000;
/** Of changes: sent twice at once, as by an operator's impatient script. */
const TWICE_SHARE = 0.3;
/** Resends under the same change id while nobody can tell what became of it. */
const MOST_RESENDS = 3;

interface ChangeResult {
  readonly revision: number;
}

/** What a change's sendings tell together: one that decides it wins. */
function decide(outcomes: readonly OperatorOutcome[]): OperatorOutcome {
  const accepted = outcomes.find(({ kind }) => kind === 'accepted');
  const unknown = outcomes.find(({ kind }) => kind === 'unknown');
  return accepted ?? unknown ?? outcomes[0] ?? { kind: 'unknown' };
}

/** Its view of the newest revision may be old. */
export class SimulatedOperator {
  private knownRevision = 0;
  private made = 0;

  constructor(
    readonly name: string,
    private readonly fleet: Fleet,
    readonly machine: SimulatedMachine,
    private readonly ledger: OperatorLedger,
    private readonly random: RandomSource,
  ) {}

  /** Makes changes until `end`, waiting at most `longestPause` between two. Virtual milliseconds. */
  async run(end: number, longestPause: number): Promise<void> {
    while (this.fleet.simulation.now < end) {
      await this.sleep(this.random.nextFloat() * longestPause);
      if (this.fleet.simulation.now < end) await this.makeChange();
    }
  }

  /** Sends one change and notes what became of it. */
  async apply(operations: readonly Operation[], timeout: number): Promise<OperatorOutcome> {
    this.made += 1;
    const body = {
      changeId: `${this.name}-change-${this.made}`,
      baseRevision: this.knownRevision,
      author: this.name,
      reason: 'simulation',
      operations,
    };
    const sends = [this.post(body, timeout)];
    if (chance(this.random, TWICE_SHARE)) sends.push(this.post(body, timeout));
    let outcome = decide(await Promise.all(sends));
    for (let resends = 0; outcome.kind === 'unknown' && resends < MOST_RESENDS; resends += 1) {
      outcome = await this.post(body, timeout);
    }
    return outcome;
  }

  /** Waits. Milliseconds. */
  sleep(milliseconds: number): Promise<void> {
    return this.machine.environment.clock.sleep(milliseconds);
  }

  private async makeChange(): Promise<void> {
    await this.apply([this.drawOperation()], TOTAL_TIMEOUT);
  }

  private drawOperation(): Operation {
    const service = pick(this.random, this.fleet.services).name;
    const scope = chance(this.random, 0.5) ? 'defaults' : `service/${service}`;
    const value = this.random.nextInteger(100, 2_000);
    if (chance(this.random, 0.7)) return { type: 'set', scope, key: 'queueLimit', value };
    const hedging = chance(this.random, 0.5) ? 'quantile' : 'none';
    return { type: 'set', scope, key: 'hedging', value: hedging };
  }

  private async post(body: { changeId: string }, timeout: number): Promise<OperatorOutcome> {
    const { clock, network } = this.machine.environment;
    const client = new OperatorClient(network, clock, {
      controllers: this.shuffledControllers(),
      token: OPERATOR_TOKEN,
      attemptTimeoutMs: ATTEMPT_TIMEOUT,
      totalTimeoutMs: timeout,
    });
    const outcome = await this.ask(client, body);
    client.close();
    this.ledger.record({ changeId: body.changeId, endedAt: clock.wallTime(), outcome });
    return outcome;
  }

  private async ask(client: OperatorClient, body: { changeId: string }): Promise<OperatorOutcome> {
    try {
      const { revision } = await client.post<ChangeResult>('/v1/changes', body);
      this.knownRevision = Math.max(this.knownRevision, revision);
      return { kind: 'accepted', revision };
    } catch (error) {
      if (!(error instanceof OperatorError)) throw error;
      const { conflict, changed, code } = error.error;
      if (conflict !== undefined) {
        this.knownRevision = Math.max(this.knownRevision, conflict.currentRevision);
      }
      return changed === 'unknown' ? { kind: 'unknown' } : { kind: 'refused', code };
    }
  }

  private shuffledControllers(): ReturnType<Fleet['controllerAddresses']> {
    const addresses = this.fleet.controllerAddresses();
    const first = this.random.nextInteger(0, addresses.length - 1);
    return [...addresses.slice(first), ...addresses.slice(0, first)];
  }
}
