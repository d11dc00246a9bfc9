/**
 * Responses that their callers have not taken yet. When a further one doesn't fit into the budget, those that
 * wait longest are cut: their callers read the slowest. The newest is written whatever its size.
 */
import type { Socket } from 'node:net';
import type { ByteBudget } from './byte-budget.js';

/** The untaken responses of one listener, one a connection. */
export class UntakenResponses {
  private readonly bytesOf = new Map<Socket, number>();

  constructor(private readonly budget: ByteBudget) {}

  add(socket: Socket, bytes: number): void {
    this.remove(socket);
    for (const oldest of this.bytesOf.keys()) {
      if (this.budget.hasRoomFor(bytes)) break;
      this.budget.countGivenUp('untaken');
      this.remove(oldest);
      oldest.destroy();
    }
    this.budget.add(bytes);
    this.bytesOf.set(socket, bytes);
  }

  remove(socket: Socket): void {
    this.budget.release(this.bytesOf.get(socket) ?? 0);
    this.bytesOf.delete(socket);
  }
}
