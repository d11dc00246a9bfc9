/** `driftway services add-replica` and `remove-replica`. */
import { Command, Option } from 'clipanion';
import type { OperationOf } from '../settings/change.js';
import { OperatorChangeCommand, type PlannedChange } from './operator-change-command.js';

export class ServicesAddReplicaCommand extends OperatorChangeCommand {
  static override paths = [['services', 'add-replica']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Add a replica to a shard',
    examples: [
      [
        'A third replica of shard s0',
        'driftway services add-replica kifu-audit s0 audit-s0-c --address 10.0.3.7:7500 --zone nayoro --slots 5 --connections 70',
      ],
    ],
  });

  service = Option.String({ name: 'SERVICE' });
  shard = Option.String({ name: 'SHARD' });
  replica = Option.String({ name: 'REPLICA' });
  address = Option.String('--address', { required: true, description: 'IP:port of its endpoint' });
  zone = Option.String('--zone', { required: true, description: 'Where it runs' });
  slots = Option.String('--slots', { required: true, description: 'Requests it works on at once' });
  connections = Option.String('--connections', {
    required: true,
    description: 'Connections it accepts from all routers together',
  });
  layout = Option.String('--layout', { description: 'Layout epoch; the newest when absent' });

  protected override async plan(): Promise<PlannedChange> {
    const operation: OperationOf<'addReplica'> = {
      type: 'addReplica',
      service: this.service,
      shardId: this.shard,
      replica: {
        replicaId: this.replica,
        address: this.address,
        zone: this.zone,
        slots: this.numberOf('--slots', this.slots),
        connections: this.numberOf('--connections', this.connections),
      },
    };
    if (this.layout === undefined) return { operations: [operation] };
    const layoutEpoch = this.numberOf('--layout', this.layout);
    return { operations: [{ ...operation, layoutEpoch }] };
  }
}

export class ServicesRemoveReplicaCommand extends OperatorChangeCommand {
  static override paths = [['services', 'remove-replica']];
  static override usage = Command.Usage({
    category: 'Services',
    description: 'Remove a replica from one layout or from all',
    examples: [['From all layouts', 'driftway services remove-replica kifu-audit audit-s0-c']],
  });

  service = Option.String({ name: 'SERVICE' });
  replica = Option.String({ name: 'REPLICA' });
  layout = Option.String('--layout', { description: 'Layout epoch; every layout when absent' });

  protected override async plan(): Promise<PlannedChange> {
    const operation: OperationOf<'removeReplica'> = {
      type: 'removeReplica',
      service: this.service,
      replicaId: this.replica,
    };
    if (this.layout === undefined) return { operations: [operation] };
    const layoutEpoch = this.numberOf('--layout', this.layout);
    return { operations: [{ ...operation, layoutEpoch }] };
  }
}
