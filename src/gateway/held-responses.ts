/** Keeps the responses of one request until its caller is answered, such as the parts of a merged response. */
import type { ResponseHolder } from '../seams/http.js';

/** Responses that count as held until {@link HeldResponses.release}. */
export class HeldResponses implements ResponseHolder {
  /** Undefined once released. */
  private callbacks: (() => void)[] | undefined = [];

  onceReleased(callback: () => void): void {
    if (this.callbacks === undefined) callback();
    else this.callbacks.push(callback);
  }

  release(): void {
    const { callbacks = [] } = this;
    this.callbacks = undefined;
    for (const callback of callbacks) callback();
  }
}
