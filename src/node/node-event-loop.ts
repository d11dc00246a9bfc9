/** Production {@link EventLoop}. */
import { performance } from 'node:perf_hooks';
import type { EventLoop } from '../seams/event-loop.js';

export const NODE_EVENT_LOOP: EventLoop = {
  busyTime: () => performance.eventLoopUtilization().active,
};
