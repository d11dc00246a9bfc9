/** Changes a setting with the operator's own command, and tells when it is in force. */
import type { ChangeResult, Force } from '../../src/administration/response-schemas.js';
import type { Clock } from '../../src/seams/clock.js';
import type { Operator } from '../fleet/operator.js';
import type { DemoChange } from './demo-evidence.js';

const PATIENCE_SECONDS = 10;

/** Where the demo's progress is told, line by line. */
export type Tell = (line: string) => void;

type Outcome = ChangeResult & { readonly force?: Force };

function readOutcome(stdout: string): Outcome | undefined {
  try {
    const outcome = JSON.parse(stdout) as Partial<Outcome>;
    return typeof outcome.revision === 'number' ? (outcome as Outcome) : undefined;
  } catch {
    return undefined;
  }
}

/** Sets one key of a service; a change that is not accepted has no revision. */
export async function changeSetting(
  operator: Operator,
  clock: Clock,
  tell: Tell,
  [service, key, value]: readonly [service: string, key: string, value: string],
): Promise<DemoChange> {
  const command = ['settings', 'set', `service/${service}`, key, value];
  const flags = ['--wait', String(PATIENCE_SECONDS)];
  tell(`$ driftway ${[...command, ...flags].join(' ')}`);
  const startedAt = clock.now();
  const { stdout, stderr } = await operator.run(...command, ...flags, '--json', '-m', 'demo');
  const seconds = (clock.now() - startedAt) / 1_000;
  const outcome = readOutcome(stdout);
  if (outcome === undefined) {
    tell(`not accepted: ${stderr.trim()}`);
    return { inForce: 0 };
  }
  const { revision, force } = outcome;
  const { inForce, daemons } = force ?? { inForce: 0, daemons: 0 };
  tell(
    `accepted as revision ${revision}, in force at ${inForce} of ${daemons} routers ` +
      `(${seconds.toFixed(1)} s with the start of the command)`,
  );
  return { revision, inForce };
}
