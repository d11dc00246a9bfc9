/** The event loop of this process, as far as product code asks about it. */
export interface EventLoop {
  /**
   * Time for which the loop ran callbacks or was ready to, since an arbitrary moment; it stands still
   * while the loop waits. Where the process has little processor time, runnable time counts as busy.
   * Milliseconds.
   */
  busyTime(): number;
}
