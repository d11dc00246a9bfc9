/**
 * Packs token requests and responses into the messages of a frame, and reads them back. Identities of
 * callers and retry times are messages of their own, so that both ends understand peers of an earlier
 * version, which know neither.
 */
import { MalformedMessageError } from '../protocol/malformed-message-error.js';
import {
  CALLER_BYTES,
  RETRY_BYTES,
  type QuotaMessage,
  type TokenRequest,
  type TokenResponse,
} from './quota-messages.js';

/** The longest retry time that a message holds; fills the bytes of one. Milliseconds. */
const MAXIMUM_RETRY_MS = 2 ** (RETRY_BYTES * 8) - 1;

/** The messages for token requests, in their order. */
export function packRequests(requests: readonly TokenRequest[]): QuotaMessage[] {
  return requests.flatMap(({ callers = [], ...request }): QuotaMessage[] =>
    callers.length === 0
      ? [request]
      : [request, { kind: 'callers', callers: packCallers(callers) }],
  );
}

/**
 * Reads token requests from the messages of a gateway.
 *
 * @throws MalformedMessageError when a message isn't part of a token request.
 */
export function readRequests(messages: readonly QuotaMessage[], gateway: string): TokenRequest[] {
  const requests: TokenRequest[] = [];
  for (const message of messages) {
    const last = requests.at(-1);
    if (message.kind === 'ask') {
      requests.push(message);
    } else if (message.kind === 'callers' && last !== undefined && last.callers === undefined) {
      requests[requests.length - 1] = { ...last, callers: unpackCallers(message.callers) };
    } else {
      const problem = `expected a message of kind ask, received ${message.kind}`;
      throw new MalformedMessageError('serve gateway', gateway, problem);
    }
  }
  return requests;
}

/** The messages for the responses to token requests; retry times only for gateways that send callers. */
export function packResponse(
  { retries = [], ...response }: TokenResponse,
  { callers }: TokenRequest,
): QuotaMessage[] {
  if (callers === undefined) return [response];
  return [response, { kind: 'retries', retries: packRetries(retries) }];
}

/**
 * Reads token responses from the messages of an owner.
 *
 * @throws MalformedMessageError when a message isn't part of a token response.
 */
export function readResponses(messages: readonly QuotaMessage[], owner: string): TokenResponse[] {
  const responses: TokenResponse[] = [];
  for (const message of messages) {
    const last = responses.at(-1);
    if (message.kind === 'answer') {
      responses.push(message);
    } else if (message.kind === 'retries' && last !== undefined && last.retries === undefined) {
      responses[responses.length - 1] = { ...last, retries: unpackRetries(message.retries) };
    } else {
      const problem = `expected a message of kind answer, received ${message.kind}`;
      throw new MalformedMessageError('receive from quota owner', owner, problem);
    }
  }
  return responses;
}

function packCallers(callers: readonly string[]): Uint8Array {
  return Buffer.from(callers.join(''), 'hex');
}

function unpackCallers(bytes: Uint8Array): string[] {
  const digits = Buffer.from(bytes).toString('hex');
  const length = CALLER_BYTES * 2;
  return Array.from({ length: Math.floor(digits.length / length) }, (_, index) =>
    digits.slice(index * length, (index + 1) * length),
  );
}

function packRetries(retries: readonly number[]): Uint8Array {
  const bytes = Buffer.alloc(retries.length * RETRY_BYTES);
  // Rounded up: a caller that returns before its token is due is refused again.
  for (const [index, retryMs] of retries.entries())
    bytes.writeUInt32BE(Math.min(MAXIMUM_RETRY_MS, Math.ceil(retryMs)), index * RETRY_BYTES);
  return bytes;
}

function unpackRetries(bytes: Uint8Array): number[] {
  const buffer = Buffer.from(bytes);
  return Array.from({ length: Math.floor(buffer.length / RETRY_BYTES) }, (_, index) =>
    buffer.readUInt32BE(index * RETRY_BYTES),
  );
}
