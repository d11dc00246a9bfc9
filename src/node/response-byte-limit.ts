/**
 * Bounds every byte that a connection brings while a response is awaited, whatever the parser makes
 * of it: status line, header, interim responses, framing and body. A parser tells of the bytes that
 * it hands on and not of those that it passes over, such as a reason phrase or a chunk extension.
 */

/** Longest head, interim responses included. Bytes. */
const MAXIMUM_HEAD_BYTES = 32 * 1024;
/** Framing of a chunked body and its trailers, beside as many bytes as the body may have. Bytes. */
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
    /** Bytes that the connection had brought when the response began to be awaited. */
    private readonly startBytes: number,
    private readonly maximumBodyBytes: number,
  ) {}

  /** The head is there; a body without `contentLength` is chunked or ends with its connection. */
  acceptHead(contentLength: string | undefined): void {
    const announced = contentLength === undefined ? NaN : Number(contentLength);
    const { maximumBodyBytes } = this;
    this.part = 'body';
    this.allowedBytes += Number.isNaN(announced)
      ? 2 * maximumBodyBytes + MAXIMUM_FRAMING_BYTES
      : Math.min(announced, maximumBodyBytes);
  }

  /** What is wrong once the connection has brought `bytes`; undefined while nothing is. */
  errorAt(bytes: number): ResponseByteLimitError | undefined {
    const { part, allowedBytes } = this;
    if (bytes - this.startBytes <= allowedBytes) return undefined;
    return new ResponseByteLimitError(part, allowedBytes);
  }
}
