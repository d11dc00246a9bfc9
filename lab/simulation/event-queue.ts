/** Virtual time: a heap of events, run in order of time and, at equal times, of insertion. */
import TinyQueue from 'tinyqueue';
import type { EventDigest } from './event-digest.js';
import type { ProcessLife } from './process-life.js';

/** What an event is, for the digest. */
export enum EventKind {
  Timer = 1,
  Delivery = 2,
  ConnectionAttempt = 3,
  DiskOperation = 4,
  Fault = 5,
  Retransmission = 6,
}

/** One thing that will happen. */
export interface ScheduledEvent {
  /** Whole microseconds since the start of the simulation. */
  readonly time: number;
  readonly sequence: number;
  readonly kind: EventKind;
  /** Number that tells events of one kind apart in the digest, such as a size in bytes. */
  readonly detail: number;
  /** The process the event belongs to; an event of a dead process never runs. */
  readonly owner: ProcessLife | undefined;
  readonly run: () => void;
  cancelled: boolean;
}

export const MICROSECONDS_PER_MILLISECOND = 1_000;

/** The only source of order in a simulation. */
export class EventQueue {
  private readonly heap = new TinyQueue<ScheduledEvent>(
    [],
    (left, right) => left.time - right.time || left.sequence - right.sequence,
  );
  private sequence = 0;
  private currentTime = 0;
  private executed = 0;

  constructor(private readonly digest: EventDigest) {}

  /** Whole microseconds since the start. */
  get now(): number {
    return this.currentTime;
  }

  /** Events run so far. */
  get executedEvents(): number {
    return this.executed;
  }

  /** Runs `run` after `milliseconds`, rounded to whole microseconds; cancel by the flag. */
  schedule(
    milliseconds: number,
    kind: EventKind,
    owner: ProcessLife | undefined,
    detail: number,
    run: () => void,
  ): ScheduledEvent {
    const delay = Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND));
    return this.scheduleAt(this.currentTime + delay, kind, owner, detail, run);
  }

  /** Like {@link EventQueue.schedule}, at a time in microseconds. */
  scheduleAt(
    time: number,
    kind: EventKind,
    owner: ProcessLife | undefined,
    detail: number,
    run: () => void,
  ): ScheduledEvent {
    this.sequence += 1;
    const event: ScheduledEvent = {
      time: Math.max(time, this.currentTime),
      sequence: this.sequence,
      kind,
      detail,
      owner,
      run,
      cancelled: false,
    };
    this.heap.push(event);
    return event;
  }

  /** Time of the next event in microseconds, or undefined when there is none. */
  nextTime(): number | undefined {
    this.dropCancelled();
    return this.heap.peek()?.time;
  }

  /** Runs the next event and moves the time to it. False when the queue is empty. */
  runNext(): boolean {
    this.dropCancelled();
    const event = this.heap.pop();
    if (event === undefined) return false;
    this.currentTime = event.time;
    const { owner } = event;
    if (owner !== undefined && owner.frozenUntil > event.time) {
      this.scheduleAt(owner.frozenUntil, event.kind, owner, event.detail, () => {
        if (!event.cancelled) event.run();
      });
      return true;
    }
    this.executed += 1;
    this.digest.add(event.time, event.kind, owner?.machineIndex ?? 0, event.detail);
    event.run();
    return true;
  }

  /** Moves the time forward with nothing happening. */
  advanceTo(time: number): void {
    this.currentTime = Math.max(this.currentTime, time);
  }

  private dropCancelled(): void {
    for (;;) {
      const event = this.heap.peek();
      if (event === undefined) return;
      if (!event.cancelled && event.owner?.alive !== false) return;
      this.heap.pop();
    }
  }
}
