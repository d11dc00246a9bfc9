/** Reports changes of the leaf gateways that a root divides its requests among. */
import type { LeafGateway } from '../directory/leaf-gateway.js';
import type { Logger } from '../observability/logger.js';

/** Compares each list with the one before. */
export class LeafChangeLog {
  private known: readonly LeafGateway[] = [];

  constructor(
    private readonly logger: Logger,
    private readonly setCount: (leaves: number) => void,
  ) {}

  /** Call periodically with the leaves in use; lists are compared by identity first. */
  update(leaves: readonly LeafGateway[]): void {
    if (leaves === this.known) return;
    const before = new Set(this.known.map(({ name }) => name));
    const joined = leaves.filter(({ name }) => !before.delete(name)).length;
    const left = before.size;
    this.known = leaves;
    this.setCount(leaves.length);
    if (joined + left > 0) {
      this.logger.info('leaf gateways changed', { leaves: leaves.length, joined, left });
    }
  }
}
