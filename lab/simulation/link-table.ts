/** Latency, bandwidth, loss and cuts between machines, one direction at a time. */
import type { RandomSource } from '../../src/seams/random-source.js';

/** What the link table needs to know of a machine. */
export interface LinkEnd {
  readonly index: number;
  readonly name: string;
  readonly zone: string;
  /** False between a loss of power and the restart. */
  readonly powered: boolean;
}

/** Properties of one direction of a link. */
export interface LinkProperties {
  /** One way. Milliseconds. */
  readonly latency: number;
  /** Added to each delivery, uniformly distributed from 0. Milliseconds. */
  readonly jitter: number;
  readonly bytesPerMillisecond: number;
  /** Chance that a segment is lost and sent again after a retransmission timeout, 0 to 1. */
  readonly loss: number;
  /** Chance that a segment is answered by a reset of its connection, 0 to 1. */
  readonly reset: number;
}

/** A machine by its name, or all machines of a zone. */
export interface LinkSelector {
  readonly machine?: string;
  readonly zone?: string;
}

/** One direction that a rule holds for; an absent end matches every machine. */
export interface LinkRule {
  readonly from?: LinkSelector;
  readonly to?: LinkSelector;
}

/** Names a cut or a change of properties, so that it can be taken back. */
export type LinkRuleId = number;

interface CutRule extends LinkRule {
  readonly id: LinkRuleId;
}

interface PropertyRule extends LinkRule {
  readonly id: LinkRuleId;
  readonly properties: Partial<LinkProperties>;
}

export const DEFAULT_LINK: LinkProperties = {
  latency: 1,
  jitter: 0.05,
  bytesPerMillisecond: 125_000,
  loss: 0,
  reset: 0,
};

/** One-way latency between two machines of one zone. Milliseconds. */
export const SAME_ZONE_LATENCY = 0.1;
/** One-way latency of a machine to itself. Milliseconds. */
export const LOOPBACK_LATENCY = 0.02;

function matches(selector: LinkSelector | undefined, end: LinkEnd): boolean {
  if (selector === undefined) return true;
  if (selector.machine !== undefined && selector.machine !== end.name) return false;
  return selector.zone === undefined || selector.zone === end.zone;
}

/** Answers how one machine reaches another at this moment. */
export class LinkTable {
  private readonly cuts: CutRule[] = [];
  private readonly rules: PropertyRule[] = [];
  private readonly cache = new Map<number, LinkProperties>();
  private nextId: LinkRuleId = 1;

  constructor(private readonly random: RandomSource) {}

  /** Drops everything in the given direction, silently, until {@link LinkTable.heal}. */
  cut(rule: LinkRule): LinkRuleId {
    const id = this.takeId();
    this.cuts.push({ ...rule, id });
    return id;
  }

  /** Changes properties of the given direction; later rules win over earlier ones. */
  change(rule: LinkRule, properties: Partial<LinkProperties>): LinkRuleId {
    const id = this.takeId();
    this.rules.push({ ...rule, id, properties });
    this.cache.clear();
    return id;
  }

  /** Takes back one cut or change. */
  heal(id: LinkRuleId): void {
    for (const list of [this.cuts, this.rules]) {
      const index = list.findIndex((rule) => rule.id === id);
      if (index >= 0) list.splice(index, 1);
    }
    this.cache.clear();
  }

  /** Takes back every cut and every change. */
  healAll(): void {
    this.cuts.length = 0;
    this.rules.length = 0;
    this.cache.clear();
  }

  /** Whether nothing sent now arrives. A machine always reaches itself. */
  isCut(from: LinkEnd, to: LinkEnd): boolean {
    if (!to.powered || !from.powered) return true;
    if (from === to || this.cuts.length === 0) return false;
    return this.cuts.some((rule) => matches(rule.from, from) && matches(rule.to, to));
  }

  properties(from: LinkEnd, to: LinkEnd): LinkProperties {
    const key = from.index * 65_536 + to.index;
    const known = this.cache.get(key);
    if (known !== undefined) return known;
    const properties = this.compute(from, to);
    this.cache.set(key, properties);
    return properties;
  }

  /** Time from sending `bytes` to their arrival. Milliseconds. */
  delay(from: LinkEnd, to: LinkEnd, bytes: number): number {
    const { latency, jitter, bytesPerMillisecond } = this.properties(from, to);
    const variation = jitter === 0 ? 0 : jitter * this.random.nextFloat();
    return latency + variation + bytes / bytesPerMillisecond;
  }

  /** Draws whether one of the link's chances comes true. */
  draw(chance: number): boolean {
    return chance > 0 && this.random.nextFloat() < chance;
  }

  private compute(from: LinkEnd, to: LinkEnd): LinkProperties {
    let latency = DEFAULT_LINK.latency;
    if (from.zone === to.zone) latency = SAME_ZONE_LATENCY;
    if (from === to) latency = LOOPBACK_LATENCY;
    const overrides = this.rules
      .filter((rule) => matches(rule.from, from) && matches(rule.to, to))
      .map((rule) => rule.properties);
    return Object.assign({}, DEFAULT_LINK, { latency }, ...overrides) as LinkProperties;
  }

  private takeId(): LinkRuleId {
    const id = this.nextId;
    this.nextId += 1;
    return id;
  }
}
