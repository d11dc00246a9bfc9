/**
 * Bounds all bytes received on a connection while a response is awaited: status line, header, interim
 * responses, framing and body. The parser reports only the bytes that it hands on, and not those that
 * it skips, such as a reason phrase or a chunk extension.
 */

/** Longest head, interim responses included. Bytes. */
const MAXIMUM_HEAD_BYTES = 32 * 1024;
/** Framing of a chunked body that is allowed on top of the maximum body size. Bytes. */
const MAXIMUM_FRAMING_BYTES = 64 * 1024;

/** The peer sent more than the response that was awaited may have. */
export class ResponseByteLimitError extends Error {
  constructor(
    readonly part: 'head' | 'body',
    maximumBytes: number,
  ) {
    super(`expected a ${part} that ends within ${maximumBytes} bytes, framing included`);
  }
}

/** Limit of one response. */
export class ResponseByteLimit {
  private part: 'head' | 'body' = 'head';
  private allowedBytes = MAXIMUM_HEAD_BYTES;

  constructor(
    /** Bytes received on the connection before the request was written. */
    private readonly startBytes: number,
    private readonly maximumBodyBytes: number,
  ) {}

  /** Call when the head is received; a body without `contentLength` is chunked or ends with its connection. */
  acceptHead(contentLength: string | undefined): void {
    const announced = contentLength === undefined ? NaN : Number(contentLength);
    const { maximumBodyBytes } = this;
    this.part = 'body';
    this.allowedBytes += Number.isNaN(announced)
      ? 2 * maximumBodyBytes + MAXIMUM_FRAMING_BYTES
      : Math.min(announced, maximumBodyBytes);
  }

  /** Returns the error if `bytes` received on the connection exceed the limit; undefined otherwise. */
  errorAt(bytes: number): ResponseByteLimitError | undefined {
    const { part, allowedBytes } = this;
    if (bytes - this.startBytes <= allowedBytes) return undefined;
    return new ResponseByteLimitError(part, allowedBytes);
  }
}
