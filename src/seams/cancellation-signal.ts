/**
 * What tells a request that it is cancelled; an `AbortSignal` is one. Where very many requests have one each, a
 * simpler one takes its place, as those of the runtime are costly to make and to listen to.
 */

/** Listeners that are added once it is aborted are not called. */
export interface CancellationSignal {
  readonly aborted: boolean;
  /** Why it was aborted; undefined before. */
  readonly reason: unknown;
  addEventListener(
    type: 'abort',
    listener: () => void,
    options?: { readonly once?: boolean },
  ): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}
