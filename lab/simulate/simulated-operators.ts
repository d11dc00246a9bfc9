/**
 * Operators of a simulated fleet: they change settings, race each other for the
 * next revision, lose answers and resend.
 */
import { OperatorClient } from '../../src/operator/operator-client.js';
import { OperatorError } from '../../src/operator/operator-error.js';
import type { Operation } from '../../src/settings/change.js';
import type { RandomSource } from '../../src/seams/random-source.js';
import { DEPLOYMENTS, type DeploymentName } from '../bench/deployment.js';
import { seededRandom } from '../simulation/seeded-random.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import { chance, pick } from './fault-plan.js';
import { OUTSIDE_ZONE } from './fleet-addresses.js';
import type { Fleet } from './fleet.js';
import type { OperatorLedger, OperatorOutcome } from './operator-ledger.js';
import { OPERATOR_TOKEN } from './simulated-daemons.js';

const ATTEMPT_TIMEOUT = 2_000;
const TOTAL_TIMEOUT = 20_000;
/** The first configuration is sent until the new group accepts it. Milliseconds. */
const SETUP_TIMEOUT = 60_000;
const LONGEST_PAUSE = 3_000;
/** Of changes: sent twice at once, as by an operator's impatient script. */
const TWICE_SHARE = 0.3;

/** So that answers without a shard or two are given; callers may ask for more. */
const REQUIRED_COVERAGE = 0.5;

interface ChangeResult {
  readonly revision: number;
}

/** One operator with a view of the revision that may be old. */
class SimulatedOperator {
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
      await this.machine.environment.clock.sleep(this.random.nextFloat() * longestPause);
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
    const twice = chance(this.random, TWICE_SHARE);
    const sends = [this.post(body, timeout)];
    if (twice) sends.push(this.post(body, timeout));
    const [first] = await Promise.all(sends);
    if (first === undefined) throw new RangeError('nothing was sent');
    return first;
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

/** All operators of a run. */
export class SimulatedOperators {
  private readonly first: SimulatedOperator;
  private readonly operators: readonly SimulatedOperator[];

  constructor(
    private readonly fleet: Fleet,
    seed: number,
    ledger: OperatorLedger,
    /** Racing operators; one alone never meets a conflict. */
    count: number,
  ) {
    const create = (index: number): SimulatedOperator => {
      const name = `operator-${index}`;
      const machine = fleet.simulation.createMachine(name, OUTSIDE_ZONE);
      return new SimulatedOperator(name, fleet, machine, ledger, seededRandom(seed, name));
    };
    this.first = create(1);
    const others = Array.from({ length: count - 1 }, (_operator, index) => create(index + 2));
    this.operators = [this.first, ...others];
  }

  /** A machine that reaches the controllers as operators do. */
  get machine(): SimulatedMachine {
    return this.first.machine;
  }

  /** Makes the region and the services. */
  async setUp(deployment: DeploymentName): Promise<void> {
    const { zones } = DEPLOYMENTS[deployment];
    const outcome = await this.first.apply(
      [
        { type: 'createRegion', region: deployment, zones: [...zones] },
        ...this.fleet.services.map((service) => ({ type: 'createService' as const, service })),
        { type: 'set', scope: 'defaults', key: 'requiredCoverage', value: REQUIRED_COVERAGE },
      ],
      SETUP_TIMEOUT,
    );
    if (outcome.kind !== 'accepted') {
      throw new Error(`the first configuration was not accepted: ${JSON.stringify(outcome)}`);
    }
  }

  /** Lets all of them make changes from now until `end`. Virtual milliseconds. */
  run(end: number): void {
    for (const operator of this.operators) void operator.run(end, LONGEST_PAUSE);
  }
}
