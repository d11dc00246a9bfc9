/** Operators of a simulated fleet: they race each other for the next revision. */
import { DEPLOYMENTS, type DeploymentName } from '../bench/deployment.js';
import { seededRandom } from '../simulation/seeded-random.js';
import type { SimulatedMachine } from '../simulation/simulated-machine.js';
import { OUTSIDE_ZONE } from './fleet-addresses.js';
import type { Fleet } from './fleet.js';
import type { OperatorLedger } from './operator-ledger.js';
import { Repartitioner } from './repartitioner.js';
import { SimulatedOperator } from './simulated-operator.js';

/** The first configuration is sent until the new group accepts it. Milliseconds. */
const SETUP_TIMEOUT = 60_000;
const LONGEST_PAUSE = 3_000;

/** So that answers without a shard or two are given; callers may ask for more. */
const REQUIRED_COVERAGE = 0.5;

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
    const create = (name: string): SimulatedOperator => {
      const machine = fleet.simulation.createMachine(name, OUTSIDE_ZONE);
      return new SimulatedOperator(name, fleet, machine, ledger, seededRandom(seed, name));
    };
    this.first = create('operator-1');
    const others = Array.from({ length: count - 1 }, (_operator, index) =>
      create(`operator-${index + 2}`),
    );
    this.operators = [this.first, ...others];
    fleet.repartitioner = new Repartitioner(fleet, create('repartitioner'));
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
