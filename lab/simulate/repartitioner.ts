/**
 * An operator that splits services anew while they are queried: it adds a layout
 * over the same replicas, lets the back ends take it up one after the other, and
 * drops the old layout once every router knows the new one.
 */
import type { ShardLayout } from '../../src/model/service-definition.js';
import type { Operation } from '../../src/settings/change.js';
import { shardName } from '../bench/deployment.js';
import { FORCE_BOUND } from './check-acknowledged-changes.js';
import type { Fleet } from './fleet.js';
import type { OperatorOutcome } from './operator-ledger.js';
import type { SimulatedOperator } from './simulated-operator.js';

/** Tries of a change that met a conflict or found no controller. */
const MOST_TRIES = 20;
const TRY_TIMEOUT = 20_000;
const FEWEST_SHARDS = 2;

/** See the module comment. */
export class Repartitioner {
  private readonly busy = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly operator: SimulatedOperator,
  ) {}

  /** Splits one service into a shard more or less; does nothing while a split of it is under way. */
  async repartition(service: string, grow: boolean, spread: number): Promise<void> {
    if (this.busy.has(service)) return;
    this.busy.add(service);
    if (await this.split(service, grow, spread)) this.busy.delete(service);
  }

  /** False when the end of a change stayed unknown: the layouts of the service are, too, then. */
  private async split(service: string, grow: boolean, spread: number): Promise<boolean> {
    const old = this.fleet.layoutOf(service);
    const layout = nextLayout(old, grow);
    const { shards } = layout;
    const made = await this.change({ type: 'repartition', service, shards: [...shards] });
    if (made !== 'accepted') return made !== 'unknown';
    this.fleet.takeUpLayout(service, layout, spread);
    await this.operator.sleep(spread + FORCE_BOUND);
    const { layoutEpoch } = old;
    return (await this.change({ type: 'dropLayout', service, layoutEpoch })) === 'accepted';
  }

  private async change(operation: Operation): Promise<OperatorOutcome['kind']> {
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
      const { kind } = await this.operator.apply([operation], TRY_TIMEOUT);
      if (kind !== 'refused') return kind;
    }
    return 'refused';
  }
}

/** The same replicas over one shard more or less, dealt out in turn. */
function nextLayout({ layoutEpoch, shards }: ShardLayout, grow: boolean): ShardLayout {
  const replicas = shards.flatMap((shard) => shard.replicas);
  const wanted = shards.length + (grow ? 1 : -1);
  const most = Math.floor(replicas.length / 2);
  const count = Math.min(most, Math.max(FEWEST_SHARDS, wanted));
  return {
    layoutEpoch: layoutEpoch + 1,
    shards: Array.from({ length: count }, (_shard, index) => ({
      shardId: shardName(index),
      replicas: replicas.filter((_replica, position) => position % count === index),
    })),
  };
}
