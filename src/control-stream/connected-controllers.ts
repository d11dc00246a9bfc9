/** The controllers whose exchange connections are open at one controller. */
import { EXCHANGE_CODEC, type HearingMessage } from './exchange-messages.js';

/** Separates member ids in a message; names contain no space. */
const SEPARATOR = ' ';

/**
 * Counts the connections of each controller, because a controller may dial
 * again before its previous connection is found to be dead.
 */
export class ConnectedControllers {
  private readonly connections = new Map<string, number>();
  private encoded: Uint8Array | undefined;

  recordOpened(memberId: string): void {
    this.connections.set(memberId, (this.connections.get(memberId) ?? 0) + 1);
    this.encoded = undefined;
  }

  recordClosed(memberId: string): void {
    const remaining = (this.connections.get(memberId) ?? 0) - 1;
    if (remaining > 0) this.connections.set(memberId, remaining);
    else this.connections.delete(memberId);
    this.encoded = undefined;
  }

  /**
   * The encoded answer that lists these controllers; the same object until a
   * connection opens or closes.
   */
  answerFrame(): Uint8Array {
    const memberIds = [...this.connections.keys()].join(SEPARATOR);
    this.encoded ??= EXCHANGE_CODEC.encode({ kind: 'hearing', memberIds });
    return this.encoded;
  }
}

/** Parses the member ids of {@link ConnectedControllers.answerFrame}. */
export function parseHearing({ memberIds }: HearingMessage): ReadonlySet<string> {
  return new Set(memberIds.split(SEPARATOR));
}
