/**
 * One direction of a TCP connection: segments arrive once and in order, late
 * when the link loses them, and not at all while the link is cut.
 */
import { EventKind, MICROSECONDS_PER_MILLISECOND, type EventQueue } from './event-queue.js';
import type { LinkEnd, LinkTable } from './link-table.js';

/** What travels along a pipe. */
export type Segment =
  | { readonly kind: 'open' }
  | { readonly kind: 'data'; readonly payload: unknown; readonly bytes: number }
  | { readonly kind: 'acknowledgement'; readonly bytes: number }
  | { readonly kind: 'end' }
  | { readonly kind: 'reset' };

/** The end that segments arrive at. */
export interface SegmentReceiver {
  /** Until when the receiving process is frozen. Microseconds. */
  readonly frozenUntil: number;
  receive(segment: Segment): void;
}

/** What all pipes share. */
export interface PipeContext {
  readonly events: EventQueue;
  readonly links: LinkTable;
  /** Pipes that wait for a cut to end, in the order they began to wait. */
  readonly stalledPipes: Set<SegmentPipe>;
}

/** First wait before a lost segment is sent again; doubled for each further loss. Milliseconds. */
export const RETRANSMISSION_TIMEOUT = 200;
const SEGMENT_HEADER_BYTES = 40;
const MACHINE_DIGEST_STEP = 2 ** 32;

interface QueuedSegment {
  readonly segment: Segment;
  /** Earliest arrival. Microseconds. */
  arrival: number;
}

/** See the module comment. */
export class SegmentPipe {
  private readonly queue: QueuedSegment[] = [];
  private lastArrival = 0;
  private scheduled = false;
  private stalledSince: number | undefined;

  constructor(
    private readonly context: PipeContext,
    readonly from: LinkEnd,
    readonly to: LinkEnd,
    private readonly receiver: SegmentReceiver,
  ) {}

  /** Whether segments wait for a cut to end. */
  get stalled(): boolean {
    return this.stalledSince !== undefined;
  }

  send(segment: Segment): void {
    if (segment.kind === 'reset' && this.stalled) {
      this.abandon();
      return;
    }
    this.lastArrival = Math.max(this.lastArrival, this.arrivalOf(segment));
    this.queue.push({ segment, arrival: this.lastArrival });
    this.scheduleHead();
  }

  /** Sends nothing any more; what has not arrived is lost. */
  abandon(): void {
    this.queue.length = 0;
    this.context.stalledPipes.delete(this);
    this.stalledSince = undefined;
  }

  /** Called when a cut has ended: sends again at the next retransmission that was due. */
  resume(): void {
    const { events } = this.context;
    if (this.stalledSince === undefined || this.scheduled) return;
    let timeout = RETRANSMISSION_TIMEOUT * MICROSECONDS_PER_MILLISECOND;
    let due = this.stalledSince + timeout;
    while (due < events.now) {
      timeout *= 2;
      due += timeout;
    }
    this.scheduled = true;
    events.scheduleAt(due, EventKind.Retransmission, undefined, this.to.index, () => {
      this.scheduled = false;
      this.retransmit();
    });
  }

  private retransmit(): void {
    if (this.stalledSince === undefined) return;
    if (this.context.links.isCut(this.from, this.to)) return;
    this.stalledSince = undefined;
    this.context.stalledPipes.delete(this);
    for (const queued of this.queue) {
      this.lastArrival = Math.max(this.lastArrival, this.arrivalOf(queued.segment));
      queued.arrival = this.lastArrival;
    }
    this.scheduleHead();
  }

  private arrivalOf(segment: Segment): number {
    const { events, links } = this.context;
    const bytes = 'bytes' in segment ? segment.bytes : 0;
    let delay = links.delay(this.from, this.to, bytes + SEGMENT_HEADER_BYTES);
    const { loss } = links.properties(this.from, this.to);
    for (let timeout = RETRANSMISSION_TIMEOUT; links.draw(loss); timeout *= 2) delay += timeout;
    return events.now + Math.round(delay * MICROSECONDS_PER_MILLISECOND);
  }

  private scheduleHead(): void {
    const [head] = this.queue;
    if (head === undefined || this.scheduled || this.stalled) return;
    this.scheduled = true;
    const bytes = 'bytes' in head.segment ? head.segment.bytes : 0;
    const detail = this.to.index * MACHINE_DIGEST_STEP + bytes;
    this.context.events.scheduleAt(head.arrival, EventKind.Delivery, undefined, detail, () => {
      this.scheduled = false;
      this.deliverHead();
    });
  }

  private deliverHead(): void {
    const { events, links, stalledPipes } = this.context;
    const [head] = this.queue;
    if (head === undefined) return;
    if (links.isCut(this.from, this.to)) {
      if (head.segment.kind === 'reset') {
        this.abandon();
        return;
      }
      this.stalledSince = events.now;
      stalledPipes.add(this);
      return;
    }
    if (this.receiver.frozenUntil > events.now) {
      head.arrival = this.receiver.frozenUntil;
      this.scheduleHead();
      return;
    }
    this.queue.shift();
    this.receiver.receive(head.segment);
    this.scheduleHead();
  }
}
