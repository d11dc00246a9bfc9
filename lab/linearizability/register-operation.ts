/**
 * What clients did to one register that is changed by compare-and-set, and what
 * they were told. The administration history is one: a change names the
 * revision it was made against, and makes the next revision or a conflict.
 */

/** The register: how often it was changed, and what it holds. */
export interface RegisterState {
  readonly revision: number;
  readonly value: number | undefined;
}

/** What a client asked for. */
export type RegisterRequest =
  | { readonly kind: 'read' }
  | { readonly kind: 'change'; readonly baseRevision: number; readonly value: number };

/** What it was told; `unknown` when no answer came, or one that settles nothing. */
export type RegisterAnswer =
  | { readonly kind: 'read'; readonly state: RegisterState }
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'not_run' }
  | { readonly kind: 'unknown' };

/** One operation from its first sending to its last answer. */
export interface RegisterOperation {
  readonly client: string;
  readonly request: RegisterRequest;
  readonly answer: RegisterAnswer;
  /** On a clock that all clients share; operations that touch at one moment count as concurrent. */
  readonly startedAt: number;
  /** Infinity without an answer: it may take effect at any later time. */
  readonly endedAt: number;
}

/**
 * The state after the operation took effect in `state`, or undefined when the
 * answer could not have been given there.
 */
export function stateAfter(
  state: RegisterState,
  { request, answer }: RegisterOperation,
): RegisterState | undefined {
  if (request.kind === 'read') {
    if (answer.kind !== 'read') return state;
    const { revision, value } = answer.state;
    return revision === state.revision && value === state.value ? state : undefined;
  }
  const fits = request.baseRevision === state.revision;
  const next = { revision: state.revision + 1, value: request.value };
  switch (answer.kind) {
    case 'accepted':
      return fits && answer.revision === next.revision ? next : undefined;
    case 'conflict':
      return fits ? undefined : state;
    case 'unknown':
      return fits ? next : state;
    default:
      return state;
  }
}
