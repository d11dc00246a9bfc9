/**
 * What tells a request that it is cancelled; an `AbortSignal` is one. Where there is one for each of very many
 * requests, a simpler one takes its place, as signals of the runtime cost a tenth of a request.
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
