/** Subscribes callbacks to streams that have no timers of their own. */
import { newDefaultScheduler } from '@most/scheduler';
import type { Disposable, Stream } from '@most/types';

/** Only timestamps events; streams with timers need a scheduler made from the Clock seam. */
const SCHEDULER = newDefaultScheduler();

/**
 * Calls `callback` for each event until the result is disposed of. Rethrows
 * errors of the stream.
 */
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
