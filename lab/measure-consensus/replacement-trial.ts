/** The session of docs/operators/replace-controller.md with real processes. */
import type { ControllerGroup } from './controller-group.js';
import { countLostChanges } from './count-lost-changes.js';

const NEW_ID = 'controller-4';

/** What came of it. */
export interface ReplacementTrial {
  /** How the controller with the empty folder ended. */
  readonly refusedExitCode: number | null;
  readonly refusedReason: string;
  /** From the addition of the new controller to the removal of the lost one. Milliseconds. */
  readonly replacedWithin: number;
  /** From kill -9 of a second controller to the next accepted change. Milliseconds. */
  readonly acceptedAfterSecondKill: number;
  readonly acceptedChanges: number;
  /** Of those, how many the group did not list in the end. */
  readonly lostChanges: number;
}

/** Wipes one controller, replaces it, and kills another. */
export async function runReplacementTrial(group: ControllerGroup): Promise<ReplacementTrial> {
  const leaderId = await group.leader();
  const lost = group.controllers.find(({ options }) => options.memberId !== leaderId);
  if (lost === undefined) throw new Error('a group of one');
  const lostId = lost.options.memberId;
  await lost.kill();
  await lost.wipe();
  await lost.start();
  const { exitCode, reason } = await lost.refusal();

  const joiner = await group.startJoiner(NEW_ID);
  const address = `${joiner.options.messages.host}:${joiner.options.messages.port}`;
  const client = group.operator(group.controllers.filter((one) => one.running && one !== joiner));
  const startedAt = performance.now();
  await group.changeMembers(client, { action: 'addLearner', memberId: NEW_ID, address });
  await group.changeMembers(client, { action: 'promote', memberId: NEW_ID });
  await group.changeMembers(client, { action: 'remove', memberId: lostId });
  const replacedWithin = performance.now() - startedAt;
  await group.accept(client);
  client.close();

  const second = group.controller(await group.leader());
  const killedAt = performance.now();
  await second.kill();
  const after = group.operator([group.controller(await group.leader())]);
  await group.accept(after);
  const acceptedAfterSecondKill = performance.now() - killedAt;
  const all = Array.from({ length: group.revision }, (_, place) => place + 1);
  const lostChanges = await countLostChanges(after, all);
  after.close();
  return {
    refusedExitCode: exitCode,
    refusedReason: reason,
    replacedWithin,
    acceptedAfterSecondKill,
    acceptedChanges: group.revision,
    lostChanges,
  };
}
