/**
 * The replicated state of the control plane: the configuration, the tokens, the
 * last accepted changes and the outcomes that resends get. Deterministic: time
 * and author come with the command.
 */
import { createHash } from 'node:crypto';
import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import type { StateMachine } from '../consensus/replicated-log.js';
import type { AcceptedChange } from './accepted-change.js';
import type { AccessToken } from './access-token.js';
import { applyOperations } from './apply-operations.js';
import { refusalOf } from './authorize.js';
import { ChangeHistory, HISTORY_BYTES, HISTORY_CHANGES } from './change-history.js';
import type { ChangeOutcome, RecordedOutcome, RefusedOutcome } from './change-outcome.js';
import { ChangeRejectedError } from './change-rejected-error.js';
import {
  decodeCommand,
  decodeJson,
  encodeJson,
  type CommandOf,
  type ConfigurationCommand,
} from './configuration-command.js';
import { decodeSnapshot, encodeSnapshot } from './configuration-snapshot.js';
import { EMPTY_CONFIGURATION, type ConfigurationState } from './configuration-state.js';
import { OutcomeWindow, OUTCOME_WINDOW, type OutcomeEntry } from './outcome-window.js';
import { TOKEN_RECORDS, type TokenRecord } from './token-record.js';
import { TokenStore } from './token-store.js';

const NOT_UNDERSTOOD: RecordedOutcome = {
  outcome: { kind: 'rejected', path: 'command', reason: 'not a command of this version' },
  repeated: false,
};

/** Hash of what the client chose, so that a resend is told from another change of the same id. */
function digestOf({ kind, principal, request }: ConfigurationCommand): string {
  const content = JSON.stringify({ kind, principal, request });
  return createHash('sha256').update(content).digest('hex');
}

/** Reads what {@link ConfigurationStateMachine.apply} returns. */
export function decodeOutcome(result: Uint8Array): RecordedOutcome {
  return decodeJson(result) as RecordedOutcome;
}

/** Bounds that tests make small. */
export interface ConfigurationStateMachineOptions {
  readonly outcomeWindow?: number;
  readonly historyChanges?: number;
  readonly historyBytes?: number;
}

/** {@link StateMachine} over the configuration. */
export class ConfigurationStateMachine implements StateMachine {
  /** Each change as it is accepted, in order of revision. */
  readonly accepted: Stream<AcceptedChange>;
  /** Emits the revision after a snapshot replaced the state; revisions in between are skipped. */
  readonly restored: Stream<number>;

  private configuration: ConfigurationState = EMPTY_CONFIGURATION;
  private readonly history: ChangeHistory;
  private readonly outcomes: OutcomeWindow;
  private readonly tokens = new TokenStore();
  private tokenRecords: TokenRecord[] = [];
  private readonly emitAccepted: (change: AcceptedChange) => void;
  private readonly emitRestored: (revision: number) => void;

  constructor(options: ConfigurationStateMachineOptions = {}) {
    this.history = new ChangeHistory(
      options.historyChanges ?? HISTORY_CHANGES,
      options.historyBytes ?? HISTORY_BYTES,
    );
    this.outcomes = new OutcomeWindow(options.outcomeWindow ?? OUTCOME_WINDOW);
    [this.emitAccepted, this.accepted] = createAdapter<AcceptedChange>();
    [this.emitRestored, this.restored] = createAdapter<number>();
  }

  current(): ConfigurationState {
    return this.configuration;
  }

  /** Every change after `revision`, oldest first; undefined when some are no longer kept. */
  acceptedSince(revision: number): AcceptedChange[] | undefined {
    return this.history.since(revision, this.configuration.revision);
  }

  /** The kept changes, oldest first. */
  acceptedChanges(): AcceptedChange[] {
    return this.history.all();
  }

  /** The configuration of an earlier revision, or undefined when it is no longer kept. */
  configurationAt(revision: number): ConfigurationState | undefined {
    return this.history.configurationAt(revision);
  }

  /** What became of a change, while it is in the window. */
  outcomeOf(changeId: string): ChangeOutcome | undefined {
    return this.outcomes.find(changeId)?.outcome;
  }

  token(tokenId: string): AccessToken | undefined {
    return this.tokens.find(tokenId);
  }

  allTokens(): AccessToken[] {
    return this.tokens.all();
  }

  /** The last creations and revocations of tokens, oldest first. */
  allTokenRecords(): readonly TokenRecord[] {
    return this.tokenRecords;
  }

  /** Why the principal may not run the command now; undefined when it may. */
  refusalOf(command: ConfigurationCommand): RefusedOutcome | undefined {
    return refusalOf(this.configuration, (tokenId) => this.tokens.find(tokenId), command);
  }

  apply(bytes: Uint8Array, _index: number): Uint8Array {
    const command = decodeCommand(bytes);
    return encodeJson(command === undefined ? NOT_UNDERSTOOD : this.applyOnce(command));
  }

  snapshot(): Uint8Array {
    return encodeSnapshot({
      configuration: this.configuration,
      oldestConfiguration: this.history.oldestConfiguration(),
      history: this.history.all(),
      outcomes: this.outcomes.all(),
      tokens: this.tokens.all(),
      tokenRecords: this.tokenRecords,
    });
  }

  restore(bytes: Uint8Array): void {
    const snapshot = decodeSnapshot(bytes);
    this.configuration = snapshot.configuration;
    this.history.replace(snapshot.oldestConfiguration, snapshot.history);
    this.outcomes.replace(snapshot.outcomes);
    this.tokens.replace(snapshot.tokens);
    this.tokenRecords = [...snapshot.tokenRecords];
    this.emitRestored(this.configuration.revision);
  }

  /** A change id that was used before gets the first outcome, or an error for other content. */
  private applyOnce(command: ConfigurationCommand): RecordedOutcome {
    const { changeId } = command.request;
    const digest = digestOf(command);
    const earlier = this.outcomes.find(changeId);
    if (earlier !== undefined) return this.answerResend(earlier, digest);
    const outcome = this.applyCommand(command);
    if (outcome.kind !== 'forbidden') this.outcomes.add({ changeId, digest, outcome });
    return { outcome, repeated: false };
  }

  private answerResend(earlier: OutcomeEntry, digest: string): RecordedOutcome {
    if (earlier.digest !== digest) return { outcome: { kind: 'changeIdReused' }, repeated: false };
    return { outcome: earlier.outcome, repeated: true };
  }

  private applyCommand(command: ConfigurationCommand): ChangeOutcome {
    const refusal = this.refusalOf(command);
    if (refusal !== undefined) return refusal;
    try {
      if (command.kind === 'change') return this.applyChange(command);
      return this.applyTokenCommand(command);
    } catch (error) {
      if (!(error instanceof ChangeRejectedError)) throw error;
      return { kind: 'rejected', path: error.path, reason: error.reason };
    }
  }

  private applyChange({ principal, at, request }: CommandOf<'change'>): ChangeOutcome {
    const { baseRevision, changeId, author, reason, operations } = request;
    const currentRevision = this.configuration.revision;
    if (baseRevision !== currentRevision) {
      return { kind: 'conflict', baseRevision, currentRevision };
    }
    this.configuration = applyOperations(this.configuration, operations);
    const { revision } = this.configuration;
    const team = principal.kind === 'token' ? this.tokens.find(principal.tokenId)?.team : undefined;
    const change: AcceptedChange = {
      revision,
      changeId,
      author,
      ...(team === undefined ? {} : { team }),
      reason,
      acceptedAt: at,
      operations,
    };
    this.history.add(change);
    this.emitAccepted(change);
    return { kind: 'accepted', revision, acceptedAt: at };
  }

  private applyTokenCommand(
    command: CommandOf<'createToken'> | CommandOf<'revokeToken'>,
  ): ChangeOutcome {
    if (command.kind === 'createToken') this.tokens.create(command);
    else this.tokens.revoke(command);
    const { tokenId, changeId, author, reason } = command.request;
    const action = command.kind === 'createToken' ? 'created' : 'revoked';
    const { at } = command;
    this.tokenRecords.push({ action, tokenId, changeId, author, reason, at });
    this.tokenRecords = this.tokenRecords.slice(-TOKEN_RECORDS);
    return { kind: 'done', acceptedAt: at };
  }
}
