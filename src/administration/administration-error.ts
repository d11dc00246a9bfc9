/** A request that the administration API turned down, as its caller sees it. */
import * as z from 'zod';
import { DriftwayError, ErrorLabel } from '../errors/driftway-error.js';

/** Every error code with its HTTP status. */
export const ERROR_STATUS = {
  bad_request: 400,
  unauthorized: 401,
  forbidden: 403,
  not_found: 404,
  method_not_allowed: 405,
  conflict: 409,
  change_id_reused: 409,
  too_large: 413,
  rejected: 422,
  internal: 500,
  not_offered: 501,
  unavailable: 503,
  outcome_unknown: 503,
} as const;
export type AdministrationErrorCode = keyof typeof ERROR_STATUS;

/** One wrong key or value of a request. */
export const requestProblemSchema = z.strictObject({ path: z.string(), reason: z.string() });
export type RequestProblem = z.infer<typeof requestProblemSchema>;

/** What the author of a conflicting change needs to see to decide anew. */
export const conflictSchema = z.strictObject({
  baseRevision: z.int(),
  currentRevision: z.int(),
  current: z
    .array(z.strictObject({ path: z.string(), value: z.json() }))
    .describe('What is there now at the places the change would have written; null for nothing.'),
  changesSinceBase: z
    .array(
      z.strictObject({
        revision: z.int(),
        changeId: z.string(),
        author: z.string(),
        reason: z.string(),
      }),
    )
    .nullable()
    .describe('Newest last, at most 100; null when they are no longer kept.'),
});
export type ConflictDetails = z.infer<typeof conflictSchema>;

/** Body of every response that is not a success. */
export const errorBodySchema = z.strictObject({
  error: z.strictObject({
    code: z.enum(Object.keys(ERROR_STATUS) as [AdministrationErrorCode]),
    message: z.string(),
    step: z.string().describe('Where the request failed.'),
    changed: z
      .enum(['no', 'unknown'])
      .describe('Whether the request changed anything. Unknown: resend with the same change id.'),
    retryAfterMs: z.number().optional().describe('When the same request may do better.'),
    problems: z.array(requestProblemSchema).optional(),
    conflict: conflictSchema.optional(),
  }),
});
export type ErrorBody = z.infer<typeof errorBodySchema>;

/** The optional parts of an error. */
export interface AdministrationErrorDetails {
  readonly changed?: 'no' | 'unknown';
  readonly retryAfterMs?: number;
  readonly problems?: readonly RequestProblem[];
  readonly conflict?: ConflictDetails;
  readonly cause?: unknown;
}

function labelsOf(code: AdministrationErrorCode, changed: 'no' | 'unknown'): ErrorLabel[] {
  const labels: ErrorLabel[] = [];
  if (changed === 'no') labels.push(ErrorLabel.NotRun);
  if (code === 'unavailable' || code === 'outcome_unknown') labels.push(ErrorLabel.Transient);
  else labels.push(ErrorLabel.BadInput);
  return labels;
}

/** Thrown by routes; written as an {@link ErrorBody}. */
export class AdministrationError extends DriftwayError {
  readonly status: number;
  readonly changed: 'no' | 'unknown';

  constructor(
    readonly code: AdministrationErrorCode,
    step: string,
    readonly reason: string,
    readonly details: AdministrationErrorDetails = {},
  ) {
    const changed = details.changed ?? 'no';
    super(reason, { step, labels: labelsOf(code, changed), cause: details.cause });
    this.changed = changed;
    this.status = ERROR_STATUS[code];
  }

  toBody(): ErrorBody {
    const { retryAfterMs, problems, conflict } = this.details;
    return {
      error: {
        code: this.code,
        message: this.reason,
        step: this.step,
        changed: this.changed,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
        ...(problems === undefined ? {} : { problems: [...problems] }),
        ...(conflict === undefined ? {} : { conflict }),
      },
    };
  }
}
