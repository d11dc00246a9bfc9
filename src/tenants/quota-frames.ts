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
  type QuotaReservationsMessage,
  type ReportedReservation,
  type TokenRequest,
  type TokenResponse,
} from './quota-messages.js';

/** The longest retry time that a message holds; fills the bytes of one. Milliseconds. */
const MAXIMUM_RETRY_MS = 2 ** (RETRY_BYTES * 8) - 1;

/** The messages for token requests, in their order. */
export function packRequests(requests: readonly TokenRequest[]): QuotaMessage[] {
  return requests.flatMap(({ callers = [], reservations = [], ...request }) => {
    const messages: QuotaMessage[] = [request];
    if (callers.length > 0) messages.push({ kind: 'callers', callers: packCallers(callers) });
    if (reservations.length > 0) messages.push(packReservations(reservations));
    return messages;
  });
}

/**
 * Reads token requests from the messages of a gateway.
 *
 * @throws MalformedMessageError when a message isn't part of a token request.
 */
export function readRequests(messages: readonly QuotaMessage[], gateway: string): TokenRequest[] {
  const requests: TokenRequest[] = [];
  for (const message of messages) {
    if (message.kind === 'ask') {
      requests.push(message);
      continue;
    }
    const request = requests.pop();
    const extended = request && extendRequest(request, message);
    if (extended === undefined) {
      const problem = `expected a message of kind ask, received ${message.kind}`;
      throw new MalformedMessageError('serve gateway', gateway, problem);
    }
    requests.push(extended);
  }
  return requests;
}

/** The request with what a message after its `ask` adds; undefined when the message adds nothing. */
function extendRequest(request: TokenRequest, message: QuotaMessage): TokenRequest | undefined {
  if (message.kind === 'callers' && request.callers === undefined)
    return { ...request, callers: unpackCallers(message.callers) };
  if (message.kind === 'reservations' && request.reservations === undefined)
    return { ...request, reservations: unpackReservations(message) };
  return undefined;
}

/**
 * The messages for the response to a token request; with decisions on each caller where the owner has
 * made them and the gateway has sent callers.
 */
export function packResponse(
  { retries, ...response }: TokenResponse,
  { callers }: TokenRequest,
): QuotaMessage[] {
  if (callers === undefined || retries === undefined) return [response];
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

function packReservations(reservations: readonly ReportedReservation[]): QuotaMessage {
  return {
    kind: 'reservations',
    callers: packCallers(reservations.map(({ caller }) => caller)),
    dueInMs: packRetries(reservations.map(({ dueInMs }) => dueInMs)),
  };
}

/** Callers and times of unequal number yield the smaller one of them. */
function unpackReservations(message: QuotaReservationsMessage): ReportedReservation[] {
  const times = unpackRetries(message.dueInMs);
  return unpackCallers(message.callers).flatMap((caller, index) => {
    const dueInMs = times[index];
    return dueInMs === undefined ? [] : [{ caller, dueInMs }];
  });
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
