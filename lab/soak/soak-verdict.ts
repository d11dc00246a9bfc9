/** Compares what callers, replicas and the operator noted with what driftway promises. */
import type { ExchangeHeaders } from '../../src/gateway/exchange-headers.js';
import type { ReplicaRun } from '../exchange/exchange-replica.js';
import type { CallKind, SoakCall } from './soak-callers.js';
import type { SoakReplica } from './soak-fleet.js';
import { REVOCATION_BOUND_MS } from './soak-fleet.js';
import type { AcknowledgedVersion } from './soak-operator.js';
import { REPLICA_CONTENT, SHARDS } from './soak-routes.js';

/** After its leaving was acknowledged a replica gets nothing new. Milliseconds. */
const LEAVING_MS = 4_000;
/** Gateways find out which replica is at an address within this time, also beside other faults. Milliseconds. */
const RECLAIM_MS = 8_000;
/** Within this time a replica in use gets requests. Milliseconds. */
const USE_MS = 3_000;
const HTTP_OK = 200;
const AT_MOST_ONCE: ReadonlySet<CallKind> = new Set(['atMostOnce', 'slow']);
/** With these a gateway says that the request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([401, 408, 421, 429, 503]);

/** What a run noted. */
export interface SoakEvidence {
  readonly calls: readonly SoakCall[];
  readonly replicas: readonly SoakReplica[];
  readonly acknowledged: readonly AcknowledgedVersion[];
  /** Versions that controllers said were in force at the end. */
  readonly readBack: readonly number[];
  /** Answers that contradict the last acknowledged order, one text each. */
  readonly contradictions: readonly string[];
  /** Planned stops after which a process hung or failed. */
  readonly failedStops: readonly string[];
  /** Processes that ended though nobody told them to, one text each. */
  readonly unexpectedEnds: readonly string[];
  /** When the load ended. Clock reading. */
  readonly endedAt: number;
  /** Names of the headers that travelled. */
  readonly headers: ExchangeHeaders;
}

type RunsById = ReadonlyMap<string, readonly ReplicaRun[]>;

function runsById(replicas: readonly SoakReplica[]): RunsById {
  const runs = new Map<string, ReplicaRun[]>();
  for (const { replica } of replicas) {
    for (const run of replica.runs) {
      runs.set(run.requestId, [...(runs.get(run.requestId) ?? []), run]);
    }
  }
  return runs;
}

/** A success is of this request, whole, and says truly what it lacks. */
function checkAnswer({ requestId, kind, answer }: SoakCall, names: ExchangeHeaders): string[] {
  if (answer?.status !== HTTP_OK) return [];
  const { partSignatures, missingParts, signature } = names;
  const text = answer.headers[kind === 'fanOut' ? partSignatures : signature] ?? '';
  const signatures = text.split(',').map((part) => part.trim());
  const problems: string[] = [];
  const isOwn = signatures.every((one) => one.endsWith(`.${requestId}`));
  if (!isOwn) problems.push(`${requestId} got another request's answer: ${text}`);
  // All records are alike, so the greatest of a fan-out's are as many as one part has.
  if (answer.body !== REPLICA_CONTENT) {
    problems.push(`${requestId} got ${answer.body.length} of ${REPLICA_CONTENT.length} bytes`);
  }
  if (kind !== 'fanOut') return problems;
  const stated = signatures.length + Number(answer.headers[missingParts] ?? 0);
  const isTrue = stated === SHARDS.length && new Set(signatures).size === signatures.length;
  if (!isTrue) problems.push(`${requestId} states false coverage: ${text}`);
  return problems;
}

function checkRuns({ requestId, kind, answer }: SoakCall, runs: readonly ReplicaRun[]): string[] {
  const problems: string[] = [];
  if (AT_MOST_ONCE.has(kind) && runs.length > 1) {
    problems.push(`${requestId} may run once and ran ${runs.length} times`);
  }
  const isSaidNotRun = answer !== undefined && NOT_RUN_STATUSES.has(answer.status);
  if (isSaidNotRun && runs.length > 0) problems.push(`${requestId} got ${answer.status} and ran`);
  return problems;
}

/** A gateway that lives answers each request that it has passed on, also while it stops as planned. */
function checkCutOff(
  { requestId, gateway, answer, wasStopping, wasKilled }: SoakCall,
  runs: readonly ReplicaRun[],
): string[] {
  if (answer !== undefined || wasKilled || runs.length === 0) return [];
  const when = wasStopping ? 'during its planned stop' : 'while it served';
  return [`${requestId} ran and was cut off by ${gateway.name} ${when}`];
}

/** Replicas are shown the tenant and never the key. */
function checkIdentity(
  { requestId, tenant }: SoakCall,
  runs: readonly ReplicaRun[],
  { apiKey, tenant: tenantHeader }: ExchangeHeaders,
): string[] {
  return runs.flatMap(({ headers }) => {
    const problems: string[] = [];
    if (headers[apiKey] !== undefined) problems.push(`${requestId} showed its key to a replica`);
    if (headers[tenantHeader] !== tenant) problems.push(`${requestId} ran for another tenant`);
    return problems;
  });
}

/** No key is accepted later than the bound after a version without it was accepted. */
function checkKey(
  { requestId, keyHeldUntil, sentAt }: SoakCall,
  runs: readonly ReplicaRun[],
  acknowledged: readonly AcknowledgedVersion[],
): string[] {
  if (runs.length === 0) return [];
  if (keyHeldUntil < 0) return [`${requestId} ran with a key that nobody ever had`];
  const takenAway = acknowledged.find(({ version }) => version > keyHeldUntil);
  if (takenAway === undefined) return [];
  const lateBy = sentAt - takenAway.at - REVOCATION_BOUND_MS;
  return lateBy > 0 ? [`${requestId} ran ${Math.round(lateBy)} ms after its key had to end`] : [];
}

function checkLeaving(
  { replica, leftAt }: SoakReplica,
  calls: ReadonlyMap<string, SoakCall>,
): string[] {
  if (leftAt === undefined) return [];
  return replica.runs
    .filter(({ at }) => at > leftAt + LEAVING_MS)
    .filter(({ requestId }) => calls.has(requestId))
    .map(({ requestId }) => `${requestId} reached ${replica.options.replicaId} after it had left`);
}

/** A replica gets requests again after a crashed one registered late at its address. */
function checkClaimed({ replica, leftAt, claimedAt }: SoakReplica, endedAt: number): string[] {
  if (leftAt !== undefined || claimedAt === undefined) return [];
  const dueAt = claimedAt + RECLAIM_MS;
  if (dueAt > endedAt - USE_MS || replica.runs.some(({ at }) => at > dueAt)) return [];
  return [
    `${replica.options.replicaId} got no request after a crashed one registered at its address`,
  ];
}

function checkConfiguration({ acknowledged, readBack }: SoakEvidence): string[] {
  const newest = acknowledged.at(-1)?.version ?? 0;
  const older = readBack.filter((version) => version < newest);
  const problems = older.map((version) => `version ${version} read back, ${newest} was accepted`);
  if (readBack.length === 0) problems.push('no controller said which version is in force');
  return problems;
}

/** Every violation, one text each. `timed` also checks what a busy machine can delay. */
export function judgeSoak(evidence: SoakEvidence, timed: boolean): string[] {
  const { calls, replicas, acknowledged, failedStops, unexpectedEnds, headers } = evidence;
  const { contradictions } = evidence;
  const runs = runsById(replicas);
  const problems = calls.flatMap((call) => {
    const own = runs.get(call.requestId) ?? [];
    return [
      ...checkAnswer(call, headers),
      ...checkRuns(call, own),
      ...checkCutOff(call, own),
      ...checkIdentity(call, own, headers),
      ...(timed ? checkKey(call, own, acknowledged) : []),
    ];
  });
  const callsById = new Map(calls.map((call) => [call.requestId, call]));
  if (timed) {
    problems.push(...replicas.flatMap((replica) => checkLeaving(replica, callsById)));
    problems.push(...replicas.flatMap((replica) => checkClaimed(replica, evidence.endedAt)));
  }
  problems.push(...checkConfiguration(evidence));
  problems.push(...failedStops.map((name) => `${name} did not stop as it was told to`));
  problems.push(...contradictions, ...unexpectedEnds);
  return problems;
}
