import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { SubscriberKind } from '../../src/directory/directory-messages.js';
import {
  DirectorySession,
  type DirectorySessionSources,
} from '../../src/directory/directory-session.js';
import {
  DOCUMENT_INTERVAL_MS,
  FALLBACK_DOCUMENT_DELAY_MS,
} from '../../src/directory/directory-timing.js';
import { DirectoryKind, ReplicaDirectory } from '../../src/directory/replica-directory.js';
import { QuarantineRegister } from '../../src/quarantine/quarantine-register.js';
import { VersionHistory } from '../../src/routes/version-history.js';

interface Parts {
  readonly simulation: Simulation;
  readonly sources: DirectorySessionSources;
  readonly session: DirectorySession;
  readonly history: VersionHistory;
  /** Version of the controller's document. */
  version: number;
  /** Whether the controller is the gateway's preferred one. */
  isPreferred: boolean;
}

function createParts(subscriberZone: string, kind = SubscriberKind.Gateway): Parts {
  const simulation = new Simulation(7);
  const { clock } = simulation.createMachine('controller', 'a').environment;
  const history = new VersionHistory();
  history.record(1, clock.now());
  const parts = { simulation, history, version: 1, isPreferred: false };
  const sources: DirectorySessionSources = {
    clock,
    directory: new ReplicaDirectory(clock, DirectoryKind.ReceivesHeartbeats),
    document: () => ({ version: parts.version, content: new Uint8Array(0) }),
    routeHistory: history,
    isPreferredFor: () => parts.isPreferred,
    evacuations: () => [],
    quarantine: new QuarantineRegister(),
    controllers: () => [],
    ageMs: () => 0,
    gatewaysFor: () => [],
  };
  const subscriber = { name: 'gateway', zone: subscriberZone, address: '' };
  const session = new DirectorySession(kind, subscriber);
  return Object.assign(parts, { sources, session });
}

/** Makes the controller accept the next version now. */
function acceptNextVersion(parts: Parts): void {
  parts.version += 1;
  parts.history.record(parts.version, parts.sources.clock.now());
}

function takeSentVersions({ session, sources }: Parts): number[] {
  const updates = session.takeUpdates(sources);
  return updates.flatMap((message) => (message.kind === 'document' ? [message.version] : []));
}

describe('route documents of a directory session', () => {
  it('sends a document at once, and once only, to a gateway of its own zone that prefers it', () => {
    const parts = createParts('a');
    parts.session.confirmedDocumentVersion = 1;
    parts.isPreferred = true;
    acceptNextVersion(parts);
    expect(takeSentVersions(parts)).toEqual([2]);
    expect(takeSentVersions(parts)).toEqual([]);
  });

  it('sends a document at once to a gateway of another zone that has none', () => {
    expect(takeSentVersions(createParts('b'))).toEqual([1]);
  });

  it.each(['a', 'b'])(
    'sends no document to a gateway of zone %s that receives it from another controller',
    async (zone) => {
      const parts = createParts(zone);
      parts.session.confirmedDocumentVersion = 1;
      acceptNextVersion(parts);
      expect(takeSentVersions(parts)).toEqual([]);
      parts.session.confirmedDocumentVersion = 2;
      await parts.simulation.runFor(FALLBACK_DOCUMENT_DELAY_MS + 1);
      expect(takeSentVersions(parts)).toEqual([]);
    },
  );

  it.each(['a', 'b'])(
    'sends a document after a delay to a gateway of zone %s that does not receive it from another controller',
    async (zone) => {
      const parts = createParts(zone);
      parts.session.confirmedDocumentVersion = 1;
      acceptNextVersion(parts);
      expect(takeSentVersions(parts)).toEqual([]);
      await parts.simulation.runFor(FALLBACK_DOCUMENT_DELAY_MS + 1);
      expect(takeSentVersions(parts)).toEqual([2]);
    },
  );

  it('sends a document to a gateway of another zone after the same delay while newer versions follow', async () => {
    const parts = createParts('b');
    parts.session.confirmedDocumentVersion = 1;
    const pause = FALLBACK_DOCUMENT_DELAY_MS / 20;
    for (let waited = 0; waited < FALLBACK_DOCUMENT_DELAY_MS; waited += pause) {
      acceptNextVersion(parts);
      expect(takeSentVersions(parts)).toEqual([]);
      await parts.simulation.runFor(pause);
    }
    expect(takeSentVersions(parts)).toEqual([parts.version]);
  });

  it('sends no document to a gateway of another zone that confirms each version within the delay', async () => {
    const parts = createParts('b');
    for (let count = 0; count < 200; count += 1) {
      parts.session.confirmedDocumentVersion = parts.version;
      acceptNextVersion(parts);
      expect(takeSentVersions(parts)).toEqual([]);
      await parts.simulation.runFor(FALLBACK_DOCUMENT_DELAY_MS / 4);
    }
  });

  it('sends no document to controllers, which read it from the replicated log', async () => {
    const parts = createParts('a', SubscriberKind.Controller);
    acceptNextVersion(parts);
    await parts.simulation.runFor(FALLBACK_DOCUMENT_DELAY_MS + 1);
    expect(takeSentVersions(parts)).toEqual([]);
    expect(parts.session.documentDueInMs(parts.sources)).toBe(Infinity);
  });

  it('sends a document at once to a gateway of another zone that prefers this controller', async () => {
    const parts = createParts('b');
    expect(takeSentVersions(parts)).toEqual([1]);
    parts.session.confirmedDocumentVersion = 1;
    parts.isPreferred = true;
    await parts.simulation.runFor(DOCUMENT_INTERVAL_MS);
    acceptNextVersion(parts);
    expect(takeSentVersions(parts)).toEqual([2]);
  });

  it.each(['a', 'b'])(
    'limits the rate of documents to zone %s and always sends the newest',
    async (zone) => {
      const parts = createParts(zone);
      parts.session.confirmedDocumentVersion = 1;
      parts.isPreferred = true;
      const sent: number[] = [];
      const pause = DOCUMENT_INTERVAL_MS / 25;
      for (let count = 0; count < 100; count += 1) {
        acceptNextVersion(parts);
        sent.push(...takeSentVersions(parts));
        await parts.simulation.runFor(pause);
      }
      expect(sent).toEqual([2, 27, 52, 77]);
    },
  );

  it('knows when a document is due to a gateway of another zone', async () => {
    const parts = createParts('b');
    parts.session.confirmedDocumentVersion = 1;
    expect(parts.session.documentDueInMs(parts.sources)).toBe(Infinity);
    acceptNextVersion(parts);
    expect(parts.session.documentDueInMs(parts.sources)).toBe(FALLBACK_DOCUMENT_DELAY_MS);
    await parts.simulation.runFor(300);
    acceptNextVersion(parts);
    expect(parts.session.documentDueInMs(parts.sources)).toBe(FALLBACK_DOCUMENT_DELAY_MS - 300);
  });
});
