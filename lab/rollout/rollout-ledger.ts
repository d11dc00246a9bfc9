/** What was accepted and what came in force where, and how late that was. */

/** Longest time from an operator's word of acceptance until all gateways go by it. Milliseconds. */
export const IN_FORCE_BOUND_MS = 3_000;

/** A document that a controller acknowledged. */
export interface AcceptedDocument {
  readonly version: number;
  /** When the operator had the acknowledgement. Virtual milliseconds. */
  readonly at: number;
}

/** A version that was not in force at a gateway in time. */
export interface LateRollout {
  readonly gateway: string;
  readonly version: number;
  readonly acceptedAt: number;
  /** Until it, or a later one, was in force there, or the run ended. Milliseconds. */
  readonly delayMs: number;
}

/** One process of a gateway. */
class GatewayLife {
  endedAt = Infinity;
  readonly inForce: { readonly version: number; readonly at: number }[] = [];

  constructor(readonly startedAt: number) {}

  /** When the version, or a later one, came in force; undefined when none did. */
  reachedAt(version: number): number | undefined {
    return this.inForce.find((entry) => entry.version >= version)?.at;
  }
}

/** See the module comment. */
export class RolloutLedger {
  readonly accepted: AcceptedDocument[] = [];
  /** Versions that came in force after a later one had been. */
  readonly reverted: string[] = [];
  private readonly lives = new Map<string, GatewayLife[]>();

  noteAccepted(version: number, at: number): void {
    this.accepted.push({ version, at });
  }

  noteStarted(gateway: string, at: number): void {
    const lives = this.lives.get(gateway) ?? [];
    lives.push(new GatewayLife(at));
    this.lives.set(gateway, lives);
  }

  noteEnded(gateway: string, at: number): void {
    const life = this.lives.get(gateway)?.at(-1);
    if (life !== undefined) life.endedAt = Math.min(life.endedAt, at);
  }

  noteInForce(gateway: string, version: number, at: number): void {
    const life = this.lives.get(gateway)?.at(-1);
    if (life === undefined) return;
    const newest = life.inForce.at(-1)?.version ?? -1;
    if (version < newest) this.reverted.push(`${gateway}: ${version} after ${newest} at ${at} ms`);
    life.inForce.push({ version, at });
  }

  /**
   * How late each document was at each gateway process that lived through the bound. For a
   * process that started after the acceptance, the time counts from its start.
   */
  delays(endOfRun: number): LateRollout[] {
    const delays: LateRollout[] = [];
    for (const [gateway, lives] of this.lives) {
      for (const life of lives) {
        for (const document of this.accepted) {
          const delay = this.delayOf(gateway, life, document, endOfRun);
          if (delay !== undefined) delays.push(delay);
        }
      }
    }
    return delays;
  }

  private delayOf(
    gateway: string,
    life: GatewayLife,
    { version, at }: AcceptedDocument,
    endOfRun: number,
  ): LateRollout | undefined {
    const dueFrom = Math.max(at, life.startedAt);
    const end = Math.min(life.endedAt, endOfRun);
    if (end - dueFrom < IN_FORCE_BOUND_MS) return undefined;
    const reachedAt = life.reachedAt(version) ?? end;
    const delayMs = Math.max(0, reachedAt - dueFrom);
    return { gateway, version, acceptedAt: at, delayMs };
  }
}
