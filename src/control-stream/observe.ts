/** Calls a function for each event of a stream that has no timers of its own. */
import { newDefaultScheduler } from '@most/scheduler';
import type { Disposable, Stream } from '@most/types';

/** Stamps events only; streams that involve time need a scheduler made from the Clock seam. */
const SCHEDULER = newDefaultScheduler();

/** Calls `callback` as events occur, until the result is disposed of. */
export function observe<T>(stream: Stream<T>, callback: (event: T) => void): Disposable {
  const sink = {
    event: (_time: number, event: T): void => callback(event),
    end: (): void => undefined,
    error: (_time: number, error: Error): void => {
      throw error;
    },
  };
  return stream.run(sink, SCHEDULER);
}
