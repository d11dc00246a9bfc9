/** Kills controllers with SIGKILL and starts them again, or freezes them, again and again. */
import type { StatusReport } from '../../src/administration/response-schemas.js';
import { OperatorError } from '../../src/operator/operator-error.js';
import type { Address } from '../../src/seams/address.js';
import type { Environment } from '../../src/seams/environment.js';
import type { Fleet } from '../fleet/fleet.js';
import { inTurn } from '../fleet/fleet-layout.js';
import { fleetClient } from '../fleet/in-force.js';

const LOOK_INTERVAL = 10;
/** Milliseconds. */
const FREEZE_DURATION = 8_000;
const LEADER_PATIENCE = 15_000;

/** Who dies, in turn. */
const STEPS = [
  'killed leader',
  'killed follower',
  /** At once, so that no quorum is left. */
  'killed leader and follower',
  /** The second as soon as the first listens again. */
  'killed leader, then follower',
  /** Not killed, but silent for longer than every lease, while it believes to lead. */
  'froze leader',
] as const;
type KillStep = (typeof STEPS)[number];

/** When to kill, and when to end. */
export interface KillSchedule {
  /** Changes accepted so far. */
  readonly accepted: () => number;
  /** Accepted changes between two kills. */
  readonly changesPerKill: number;
  /** No further kill once this aborts. */
  readonly signal: AbortSignal;
}

/** One task that kills; at most one step is under way at a time. */
export class ControllerKiller {
  /** Steps taken. */
  steps = 0;

  constructor(
    private readonly environment: Environment,
    private readonly fleet: Fleet,
    private readonly tell: (line: string) => void,
  ) {}

  /** Runs until the schedule ends. @throws Error when a controller does not start again. */
  async run({ accepted, changesPerKill, signal }: KillSchedule): Promise<void> {
    while (!signal.aborted) {
      if (accepted() >= (this.steps + 1) * changesPerKill)
        await this.kill(inTurn(STEPS, this.steps));
      await this.environment.clock.sleep(LOOK_INTERVAL);
    }
  }

  /** Kills all at once. */
  async killAll(): Promise<void> {
    await this.restart(this.fleet.terms.controllers.map(({ memberId }) => memberId));
    this.tell('killed all controllers at once, started them again');
  }

  private async kill(step: KillStep): Promise<void> {
    const leader = await this.findLeader();
    const members = this.fleet.terms.controllers.map(({ memberId }) => memberId);
    const followers = members.filter((memberId) => memberId !== leader);
    const follower = inTurn(followers, this.steps);
    this.steps += 1;
    for (const victims of victimsOf(step, leader, follower)) await this.restart(victims);
    if (step === 'froze leader') {
      await this.fleet.freeze(leader, FREEZE_DURATION, this.environment.clock);
    }
    this.tell(`${step} (leader ${leader}, follower ${follower})`);
  }

  private async restart(victims: readonly string[]): Promise<void> {
    await Promise.all(victims.map((memberId) => this.fleet.kill(memberId)));
    await Promise.all(victims.map((memberId) => this.fleet.startController(memberId)));
  }

  /** @throws Error when no controller leads for long. */
  private async findLeader(): Promise<string> {
    const { clock } = this.environment;
    const giveUpAt = clock.now() + LEADER_PATIENCE;
    while (clock.now() < giveUpAt) {
      const statuses = await Promise.all(
        this.fleet.terms.controllers.map(({ http }) => this.readStatus(http)),
      );
      const leaders = statuses.filter((status) => status?.role === 'leader');
      // One that was deposed may not know it yet.
      const [newest] = leaders.sort((one, other) => (other?.term ?? 0) - (one?.term ?? 0));
      if (newest !== undefined) return newest.memberId;
      await clock.sleep(LOOK_INTERVAL);
    }
    throw new Error(`no controller has led for ${LEADER_PATIENCE / 1_000} s`);
  }

  /** Undefined when the controller does not answer. */
  private async readStatus(controller: Address): Promise<StatusReport | undefined> {
    const client = fleetClient(this.environment, this.fleet, [controller]);
    try {
      return await client.get<StatusReport>('/v1/status');
    } catch (error) {
      if (!(error instanceof OperatorError)) throw error;
      return undefined;
    } finally {
      client.close();
    }
  }
}

/** Groups that die one after the other. */
function victimsOf(step: KillStep, leader: string, follower: string): string[][] {
  switch (step) {
    case 'killed leader':
      return [[leader]];
    case 'killed follower':
      return [[follower]];
    case 'killed leader and follower':
      return [[leader, follower]];
    case 'killed leader, then follower':
      return [[leader], [follower]];
    case 'froze leader':
      return [];
  }
}
