/** Time from kill -9 of the leader to a new one, and to the next accepted change. */
import type { ControllerGroup } from './controller-group.js';

/** One kill. Milliseconds. */
export interface Failover {
  /** Until another controller leads and has committed its opening record. */
  readonly leaderAfter: number;
  /** Until a change sent after that was accepted. */
  readonly acceptedAfter: number;
  /** Until a change sent after the restart of the killed one found all of them caught up. */
  readonly caughtUpAfterRestart: number;
}

/** Kills the leader, lets another take over, and brings the killed one back. */
export async function measureFailovers(group: ControllerGroup, kills: number): Promise<Failover[]> {
  const results: Failover[] = [];
  for (let kill = 0; kill < kills; kill += 1) {
    const victim = group.controller(await group.leader());
    const killedAt = performance.now();
    await victim.kill();
    const next = group.controller(await group.leader());
    const leaderAfter = performance.now() - killedAt;
    const client = group.operator([next]);
    await group.accept(client);
    const acceptedAfter = performance.now() - killedAt;
    client.close();
    const restartedAt = performance.now();
    await victim.start();
    await group.waitForCatchUp(victim);
    const caughtUpAfterRestart = performance.now() - restartedAt;
    results.push({ leaderAfter, acceptedAfter, caughtUpAfterRestart });
  }
  return results;
}
