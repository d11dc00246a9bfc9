/** Kills controllers with SIGKILL, again and again, and starts them again. */
import type { StatusReport } from '../../src/administration/response-schemas.js';
import type { Environment } from '../../src/seams/environment.js';
import type { Fleet } from '../fleet/fleet.js';
import { inTurn } from '../fleet/fleet-layout.js';
import { fleetClient } from '../fleet/in-force.js';

const LOOK_INTERVAL = 10;

/** Who dies, in turn. */
const STEPS = [
  'leader',
  'follower',
  /** At once, so that no quorum is left. */
  'leader and follower',
  /** The second as soon as the first listens again. */
  'leader, then follower',
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
    for (const victims of this.victimsOf(step, leader, follower)) await this.restart(victims);
    this.tell(`killed ${step} (leader ${leader}, follower ${follower}), started again`);
  }

  /** Groups that die one after the other. */
  private victimsOf(step: KillStep, leader: string, follower: string): string[][] {
    switch (step) {
      case 'leader':
        return [[leader]];
      case 'follower':
        return [[follower]];
      case 'leader and follower':
        return [[leader, follower]];
      case 'leader, then follower':
        return [[leader], [follower]];
    }
  }

  private async restart(victims: readonly string[]): Promise<void> {
    await Promise.all(victims.map((memberId) => this.fleet.kill(memberId)));
    await Promise.all(victims.map((memberId) => this.fleet.startController(memberId)));
  }

  /** The leader that some controller knows of; any controller while there is none. */
  private async findLeader(): Promise<string> {
    const client = fleetClient(this.environment, this.fleet);
    const { leaderId, memberId } = await client.get<StatusReport>('/v1/status');
    client.close();
    return leaderId ?? memberId;
  }
}
