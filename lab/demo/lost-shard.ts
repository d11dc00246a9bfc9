/** What callers are told when every replica of a shard is lost. */
import type { Environment } from '../../src/seams/environment.js';
import type { Fleet } from '../fleet/fleet.js';
import { CallerLedger } from '../ledger/caller-ledger.js';
import type { CallerLedgerEntry } from '../ledger/caller-ledger-entry.js';
import { QueryMix, type QueryKind } from '../load/query-mix.js';
import { createCallers } from '../load/run-load.js';
import { describeAnswer } from './answer-text.js';
import type { DemoIncidents } from './demo-incidents.js';
import { changeSetting, type Tell } from './settings-change.js';

/** Coverage that one lost shard of a few leaves. */
const ENOUGH_WITHOUT_IT = '0.75';
/** Queries that are sent while the shard is lost. */
export const LOST_SHARD_QUERIES = 2;

/** Asks once while the whole layout is required, and once when less will do. */
export async function askWithoutShard(
  environment: Environment,
  fleet: Fleet,
  incidents: DemoIncidents,
  kind: QueryKind,
  tell: Tell,
): Promise<readonly CallerLedgerEntry[]> {
  const ledger = new CallerLedger();
  const { clientLatency } = fleet.terms.file;
  const callers = createCallers(environment, fleet.routers.slice(0, 1), clientLatency, ledger);
  const mix = new QueryMix([{ ...kind, texts: kind.texts.slice(0, 1) }], environment.random);
  const ask = async (): Promise<void> => {
    for (const caller of callers) {
      const entry = await caller.send(mix.next());
      tell(describeAnswer(entry, kind.texts[0] ?? ''));
    }
  };
  await incidents.loseShard(kind.service);
  await ask();
  const change = [kind.service, 'requiredCoverage', ENOUGH_WITHOUT_IT] as const;
  await changeSetting(fleet.operator, environment.clock, tell, change);
  await ask();
  for (const caller of callers) await caller.close();
  return ledger.entries;
}
