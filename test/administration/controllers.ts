/** Controllers over one in-memory history, called without a network. */
import { Registry } from 'prom-client';
import { expect } from 'vitest';
import { createAdministrationHandler } from '../../src/administration/administration-handler.js';
import {
  ERROR_STATUS,
  errorBodySchema,
  type ErrorBody,
} from '../../src/administration/administration-error.js';
import { COMMON_ERRORS } from '../../src/administration/openapi-document.js';
import { matchPath } from '../../src/administration/route.js';
import { ROUTES } from '../../src/administration/routes.js';
import type { ForceTracker } from '../../src/administration/force-tracker.js';
import { SILENT_LOGGER } from '../../src/observability/logger.js';
import type { Clock } from '../../src/seams/clock.js';
import type { HttpHandler, HttpHeaders } from '../../src/seams/http.js';
import type { ChangeRequest } from '../../src/settings/change.js';
import { hashToken } from '../../src/settings/token-text.js';
import { MemoryHistory, type MemoryLog } from './memory-log.js';

export const BOOTSTRAP_TOKEN = 'the-bootstrap-token';

/** Stands still until told otherwise. */
export class StoppedClock implements Clock {
  time = 1_000;
  now(): number {
    return this.time;
  }
  wallTime(): number {
    return this.time;
  }
  setTimer(): never {
    throw new Error('no timers here');
  }
  sleep(): never {
    throw new Error('no timers here');
  }
}

/** A response with its JSON body read. */
export interface Reply<T> {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: T;
}

export interface CallOptions {
  readonly token?: string | undefined;
  readonly body?: unknown;
  /** Sent as it is, in place of `body`. */
  readonly rawBody?: string;
}

/** Every answer that a test gets is of the form that the OpenAPI document gives for it. */
function expectDocumented(method: string, path: string, status: number, body: unknown): void {
  const route = ROUTES.find(
    (known) => known.method === method && matchPath(known.path, path) !== undefined,
  );
  if (status === 200) {
    route?.response.parse(body);
    return;
  }
  const { error } = errorBodySchema.parse(body);
  expect(status).toBe(ERROR_STATUS[error.code]);
  if (route !== undefined) expect([...COMMON_ERRORS, ...route.errors]).toContain(error.code);
}

/** One controller. */
export class TestController {
  readonly clock = new StoppedClock();
  readonly registry = new Registry();
  private readonly handler: HttpHandler;

  constructor(
    readonly log: MemoryLog,
    forces?: ForceTracker,
  ) {
    this.handler = createAdministrationHandler({
      log,
      machine: log.machine,
      evacuations: log.evacuationOrders,
      quarantine: log.quarantineOrders,
      routeDocument: log.routeDocument,
      clock: this.clock,
      logger: SILENT_LOGGER,
      registry: this.registry,
      bootstrapTokenHash: hashToken(BOOTSTRAP_TOKEN),
      ...(forces === undefined ? {} : { forces }),
    });
  }

  async call<T = ErrorBody>(
    method: string,
    target: string,
    options: CallOptions = {},
  ): Promise<Reply<T>> {
    const token = 'token' in options ? options.token : BOOTSTRAP_TOKEN;
    const body = options.rawBody ?? JSON.stringify(options.body ?? null);
    const [path = '', query = ''] = target.split('?');
    const response = await this.handler({
      method,
      path,
      target,
      query: new URLSearchParams(query),
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      body: new TextEncoder().encode(body),
      signal: new AbortController().signal,
      remoteAddress: '127.0.0.1',
    });
    const text = typeof response.body === 'string' ? response.body : '';
    expectDocumented(method, path, response.status, JSON.parse(text));
    return {
      status: response.status,
      headers: response.headers ?? {},
      body: JSON.parse(text) as T,
    };
  }

  change<T = ErrorBody>(request: ChangeRequest, token = BOOTSTRAP_TOKEN): Promise<Reply<T>> {
    return this.call<T>('POST', '/v1/changes', { body: request, token });
  }
}

/** `count` controllers of one group. */
export function createControllers(count: number, forces?: ForceTracker): TestController[] {
  const history = new MemoryHistory();
  return Array.from(
    { length: count },
    (_, index) => new TestController(history.addMember(`controller-${index + 1}`), forces),
  );
}
