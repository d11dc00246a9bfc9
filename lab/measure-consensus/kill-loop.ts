/** Kills controllers while changes are made without a pause, then all at once; counts what is lost. */
import type { ControllerGroup } from './controller-group.js';
import { countLostChanges } from './count-lost-changes.js';

/** Longest time between a restart and the next kill. Milliseconds. */
const LONGEST_PAUSE = 400;

/** What came of it. */
export interface KillLoopResult {
  readonly kills: number;
  /** Changes that were accepted meanwhile. */
  readonly acceptedChanges: number;
  /** Of those, how many the restarted group lists no more, or lists as another's. */
  readonly lostChanges: number;
  /** Changes that the client gave up on. */
  readonly failedChanges: number;
}

class ChangeLoop {
  stopping = false;
  failedChanges = 0;
  readonly accepted = new Set<number>();

  constructor(private readonly group: ControllerGroup) {}

  /** One change after another; the client resends each until its fate is known. */
  async run(): Promise<void> {
    const client = this.group.operator(this.group.controllers);
    while (!this.stopping) {
      try {
        await this.group.accept(client);
        this.accepted.add(this.group.revision);
      } catch {
        this.failedChanges += 1;
      }
    }
    client.close();
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Kills one controller after another, whichever it is, and all of them in the end. */
export async function runKillLoop(group: ControllerGroup, kills: number): Promise<KillLoopResult> {
  const loop = new ChangeLoop(group);
  const running = loop.run();
  for (let kill = 0; kill < kills; kill += 1) {
    const victim = group.controllers[kill % group.controllers.length];
    await pause(Math.random() * LONGEST_PAUSE);
    await victim?.kill();
    await group.leader();
    await victim?.start();
    if (victim !== undefined) await group.waitForCatchUp(victim);
  }
  await Promise.all(group.controllers.map((controller) => controller.kill()));
  for (const controller of group.controllers) await controller.start();
  await group.leader();
  loop.stopping = true;
  await running;
  const client = group.operator();
  const lostChanges = await countLostChanges(client, loop.accepted);
  client.close();
  return {
    kills: kills + group.controllers.length,
    acceptedChanges: loop.accepted.size,
    lostChanges,
    failedChanges: loop.failedChanges,
  };
}
