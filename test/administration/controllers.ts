/** Controllers over one in-memory history, called without a network. */
import { Registry } from 'prom-client';
import { createAdministrationHandler } from '../../src/administration/administration-handler.js';
import type { ErrorBody } from '../../src/administration/administration-error.js';
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
      query: new URLSearchParams(query),
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      body: new TextEncoder().encode(body),
      signal: new AbortController().signal,
      remoteAddress: '127.0.0.1',
    });
    const text = typeof response.body === 'string' ? response.body : '';
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
