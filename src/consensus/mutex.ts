/** Runs asynchronous sections one after another, in the order of their calls. */
export class Mutex {
  private tail: Promise<void> = Promise.resolve();

  /** Runs `section` once all earlier ones have settled. */
  runExclusive<T>(section: () => Promise<T>): Promise<T> {
    const result = this.tail.then(section);
    this.tail = result.then(
      () => undefined,
      () => undefined,
    );
    return result;
  }
}
