/** The controllers that one controller hears itself, by their open connections. */
import { EXCHANGE_CODEC, type HearingMessage } from './exchange-messages.js';

/** Separates member ids in a message; no name holds one. */
const SEPARATOR = ' ';

/** Counts connections, since a controller may dial again before its last one is found dead. */
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

  /** As an answer to another controller; the same object until something changes. */
  answerFrame(): Uint8Array {
    const memberIds = [...this.connections.keys()].join(SEPARATOR);
    this.encoded ??= EXCHANGE_CODEC.encode({ kind: 'hearing', memberIds });
    return this.encoded;
  }
}

/** Reads {@link ConnectedControllers.answerFrame}. */
export function parseHearing({ memberIds }: HearingMessage): ReadonlySet<string> {
  return new Set(memberIds.split(SEPARATOR));
}
