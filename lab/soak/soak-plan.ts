/** The faults of one run, drawn from its seed. */
import type { RandomSource } from '../../src/seams/random-source.js';

/** What is done to one process or link. */
export enum SoakFault {
  KillGateway = 'killGateway',
  KillController = 'killController',
  FreezeGateway = 'freezeGateway',
  FreezeController = 'freezeController',
  /** A planned stop and another start. */
  StopGateway = 'stopGateway',
  StopController = 'stopController',
  /** All gateways are stopped and started in turn; two of them may be down at a time. */
  RollGateways = 'rollGateways',
  /** A planned stop is repeated: once while the next process starts, and once as soon as it listens. */
  StopInSeries = 'stopInSeries',
  /** A planned stop that is cut short by a kill. */
  KillStoppingGateway = 'killStoppingGateway',
  /** All controllers are killed at once and come back. */
  KillAllControllers = 'killAllControllers',
  /** One controller, the same throughout a run, loses its disk up to three times in a row. */
  LoseControllerDisk = 'loseControllerDisk',
  /** Versions of the routes follow each other without a pause. */
  StormOfChanges = 'stormOfChanges',
  /** The link to a controller, or to a replica, is reset, cut in silence, or cut one way. */
  ResetController = 'resetController',
  CutController = 'cutController',
  OneWayController = 'oneWayController',
  ResetReplica = 'resetReplica',
  CutReplica = 'cutReplica',
  /** A replica stops in the middle of the head of each of its answers. */
  CutAnswers = 'cutAnswers',
  /** A replica says that it leaves, ends, and another takes its place. */
  DrainReplica = 'drainReplica',
  /** A heartbeat of a crashed replica that was held up registers it at the address of another one. */
  LateHeartbeat = 'lateHeartbeat',
  /** A replica, or each of them, sends answers without end. */
  EndlessReplica = 'endlessReplica',
  EndlessReplicas = 'endlessReplicas',
  /** The next process starts while the one before stops. */
  OverlapGateway = 'overlapGateway',
  OverlapController = 'overlapController',
  /** Two processes follow each other while the first one stops. */
  OverlapInSeries = 'overlapInSeries',
  /** The signal for a planned stop comes twice. */
  StopTwice = 'stopTwice',
  /** A process starts on settings of which a part is written. */
  HalfSettingsAtStart = 'halfSettingsAtStart',
  /** The settings of a running process are written in two halves, and it is told to reload. */
  HalfSettings = 'halfSettings',
  /** A process is told to reload again and again, also while it starts. */
  ReloadInSeries = 'reloadInSeries',
}

const FAULTS: readonly SoakFault[] = Object.values(SoakFault);
/**
 * What only the deployed form bears: it reads settings again, and its controllers replace each other without an
 * operator.
 */
const DEPLOYED_FORM_FAULTS: ReadonlySet<SoakFault> = new Set([
  SoakFault.LoseControllerDisk,
  SoakFault.HalfSettingsAtStart,
  SoakFault.HalfSettings,
  SoakFault.ReloadInSeries,
]);
/** Faults of daemons that the package's own commands start. */
export const COMMAND_FAULTS = FAULTS.filter((kind) => !DEPLOYED_FORM_FAULTS.has(kind));
export const DEPLOYED_FAULTS = FAULTS;
/** Between the beginnings of two faults, which may overlap. Milliseconds. */
const SHORTEST_GAP_MS = 300;
const LONGEST_GAP_MS = 2_000;
/** How long one lasts. Milliseconds. */
const SHORTEST_FAULT_MS = 200;
const LONGEST_FAULT_MS = 3_000;
/** From the start of the load to the first fault. Milliseconds. */
const FIRST_FAULT_MS = 1_000;
/** Far more than there are processes or links of a kind, so that each is as likely. */
const TARGETS = 1_000;

/** One fault. */
export interface PlannedFault {
  readonly kind: SoakFault;
  /** From the start of the load. Milliseconds. */
  readonly at: number;
  readonly durationMs: number;
  /** Which of the processes or links it strikes: taken modulo their number. */
  readonly target: number;
}

function between(random: RandomSource, least: number, most: number): number {
  return least + random.nextFloat() * (most - least);
}

/** Faults from {@link FIRST_FAULT_MS} to the end of a load of `durationMs`. */
export function planFaults(
  random: RandomSource,
  durationMs: number,
  kinds: readonly SoakFault[],
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  let at = FIRST_FAULT_MS;
  while (at < durationMs) {
    const kind = kinds[Math.floor(random.nextFloat() * kinds.length)] as SoakFault;
    const fault = {
      kind,
      at,
      durationMs: between(random, SHORTEST_FAULT_MS, LONGEST_FAULT_MS),
      target: Math.floor(random.nextFloat() * TARGETS),
    };
    faults.push(fault);
    at += between(random, SHORTEST_GAP_MS, LONGEST_GAP_MS);
  }
  return faults;
}
