import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { SubscriberKind } from '../../src/directory/directory-messages.js';
import {
  DirectorySession,
  type DirectorySessionSources,
} from '../../src/directory/directory-session.js';
import { FAR_DOCUMENT_DELAY_MS } from '../../src/directory/directory-timing.js';
import { DirectoryKind, ReplicaDirectory } from '../../src/directory/replica-directory.js';
import { QuarantineRegister } from '../../src/quarantine/quarantine-register.js';

interface Parts {
  readonly simulation: Simulation;
  readonly sources: DirectorySessionSources;
  readonly session: DirectorySession;
  /** Version of the document at the controller. */
  version: number;
}

function createParts(subscriberZone: string): Parts {
  const simulation = new Simulation(7);
  const { clock } = simulation.createMachine('controller', 'a').environment;
  const parts = { simulation, version: 1 };
  const sources: DirectorySessionSources = {
    clock,
    directory: new ReplicaDirectory(clock, DirectoryKind.HearsHeartbeats),
    document: () => ({ version: parts.version, content: new Uint8Array(0) }),
    evacuations: () => [],
    quarantine: new QuarantineRegister(),
    controllers: () => [],
    ageMs: () => 0,
    ownZone: 'a',
    gatewaysFor: () => [],
  };
  const subscriber = { name: 'gateway', zone: subscriberZone, address: '' };
  const session = new DirectorySession(SubscriberKind.Gateway, subscriber);
  return Object.assign(parts, { sources, session });
}

function toldVersions({ session, sources }: Parts): number[] {
  const news = session.takeNews(sources);
  return news.flatMap((message) => (message.kind === 'document' ? [message.version] : []));
}

describe('a route document', () => {
  it('is sent at once to a gateway of the zone', () => {
    const parts = createParts('a');
    parts.session.confirmedDocumentVersion = 1;
    parts.version = 2;
    expect(toldVersions(parts)).toEqual([2]);
    expect(toldVersions(parts)).toEqual([]);
  });

  it('is sent at once to a gateway of another zone that has none', () => {
    expect(toldVersions(createParts('b'))).toEqual([1]);
  });

  it('is not sent to a gateway of another zone that gets it elsewhere', async () => {
    const parts = createParts('b');
    parts.session.confirmedDocumentVersion = 1;
    parts.version = 2;
    expect(toldVersions(parts)).toEqual([]);
    parts.session.confirmedDocumentVersion = 2;
    await parts.simulation.runFor(FAR_DOCUMENT_DELAY_MS + 1);
    expect(toldVersions(parts)).toEqual([]);
  });

  it('is sent to a gateway of another zone that does not get it elsewhere', async () => {
    const parts = createParts('b');
    parts.session.confirmedDocumentVersion = 1;
    parts.version = 2;
    expect(toldVersions(parts)).toEqual([]);
    await parts.simulation.runFor(FAR_DOCUMENT_DELAY_MS + 1);
    expect(toldVersions(parts)).toEqual([2]);
  });
});
