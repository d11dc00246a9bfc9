/**
 * Several state machines over one history. Commands of the main section are
 * written as they always were; a command of another section begins with that
 * section's tag, which no command of the main section begins with.
 */
import { MessageType } from './message-type.js';
import type { StateMachine } from './replicated-log.js';

/** First byte of a snapshot that holds sections; older snapshots hold the main section alone. */
const SECTIONED_SNAPSHOT_TAG = 2;

const sectionType = new MessageType('StateMachineSection', {
  /** {@link MAIN_SECTION_TAG} for the main section. */
  tag: 'long',
  snapshot: 'bytes',
});

const MAIN_SECTION_TAG = 0;
const MAXIMUM_SECTIONS = 16;

/** First byte of the commands of the sections beside the main one. */
export enum SectionTag {
  RouteDocument = 1,
  Evacuations = 2,
  Quarantine = 3,
}

/** A command of the section `tag`. */
export function sectionCommand(tag: SectionTag, command: Uint8Array): Uint8Array {
  return Buffer.concat([Buffer.from([tag]), command]);
}

/** See the module comment. */
export class SectionedStateMachine implements StateMachine {
  constructor(
    private readonly main: StateMachine,
    private readonly sections: ReadonlyMap<SectionTag, StateMachine>,
  ) {}

  apply(command: Uint8Array, index: number): Uint8Array {
    const section = this.sections.get(command[0] ?? MAIN_SECTION_TAG);
    if (section === undefined) return this.main.apply(command, index);
    return section.apply(command.subarray(1), index);
  }

  snapshot(): Uint8Array {
    const stored = [{ tag: MAIN_SECTION_TAG, snapshot: this.main.snapshot() }];
    for (const [tag, section] of this.sections) stored.push({ tag, snapshot: section.snapshot() });
    return Buffer.concat([Buffer.from([SECTIONED_SNAPSHOT_TAG]), sectionType.encodeAll(stored)]);
  }

  restore(snapshot: Uint8Array): void {
    if (snapshot[0] !== SECTIONED_SNAPSHOT_TAG) {
      this.main.restore(snapshot);
      return;
    }
    const bytes = Buffer.from(snapshot.buffer, snapshot.byteOffset + 1, snapshot.byteLength - 1);
    for (const stored of sectionType.decodeAll(bytes, MAXIMUM_SECTIONS)) {
      const section = stored.tag === MAIN_SECTION_TAG ? this.main : this.sections.get(stored.tag);
      section?.restore(stored.snapshot);
    }
  }
}
