import { describe, expect, it } from 'vitest';
import {
  SectionTag,
  SectionedStateMachine,
  sectionCommand,
} from '../../src/consensus/sectioned-state-machine.js';
import type { StateMachine } from '../../src/consensus/replicated-log.js';
import {
  InvalidRouteDocumentError,
  readRouteDocument,
} from '../../src/routes/read-route-document.js';
import {
  RouteDocumentRegister,
  decodeRouteDocumentOutcome,
  encodeRouteDocument,
} from '../../src/routes/route-document-register.js';
import { RouteTable } from '../../src/routes/route-table.js';

const ROUTE = { host: 'a.example', pathPrefix: '/x/', timeoutMs: 100, service: 'one' };
const VALID = { version: 1, routes: [ROUTE], services: [{ name: 'one' }, { name: 'two' }] };

function bytesOf(document: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(document));
}

function problemsOf(document: unknown): readonly string[] {
  try {
    readRouteDocument(bytesOf(document));
    return [];
  } catch (error) {
    if (error instanceof InvalidRouteDocumentError) return error.problems;
    throw error;
  }
}

describe('readRouteDocument', () => {
  it('accepts a valid document and ignores unknown fields', () => {
    expect(problemsOf({ ...VALID, colour: 'red' })).toEqual([]);
  });

  const wrong: readonly [string, unknown][] = [
    ['an unknown service', { ...VALID, routes: [{ ...ROUTE, service: 'three' }] }],
    [
      'two routes with the same host and path prefix',
      { ...VALID, routes: [ROUTE, { ...ROUTE, service: 'two' }] },
    ],
    ['a timeout of 0', { ...VALID, routes: [{ ...ROUTE, timeoutMs: 0 }] }],
    [
      'a path prefix without its final slash',
      { ...VALID, routes: [{ ...ROUTE, pathPrefix: '/x' }] },
    ],
    ['no target', { ...VALID, routes: [{ ...ROUTE, service: undefined }] }],
    ['two targets', { ...VALID, routes: [{ ...ROUTE, shards: ['two'] }] }],
    [
      'weights that sum to 0',
      {
        ...VALID,
        routes: [{ ...ROUTE, service: undefined, split: [{ service: 'one', weight: 0 }] }],
      },
    ],
    [
      'a shard listed twice',
      { ...VALID, routes: [{ ...ROUTE, service: undefined, shards: ['one', 'one'] }] },
    ],
    ['two services of the same name', { ...VALID, services: [{ name: 'one' }, { name: 'one' }] }],
    ['no version', { ...VALID, version: undefined }],
    ['a version that is not an integer', { ...VALID, version: 1.5 }],
  ];
  for (const [name, document] of wrong) {
    it(`rejects a document with ${name}`, () => expect(problemsOf(document)).not.toEqual([]));
  }

  it('rejects truncated bytes', () => {
    const bytes = bytesOf(VALID);
    expect(() => readRouteDocument(bytes.subarray(0, bytes.length - 1))).toThrow(
      InvalidRouteDocumentError,
    );
  });
});

describe('RouteTable', () => {
  it('ignores the case and the port when it matches a host', () => {
    const table = new RouteTable(readRouteDocument(bytesOf(VALID)));
    expect(table.match('A.Example:8080', '/x/1')?.service).toBe('one');
    expect(table.match('b.example', '/x/1')).toBeUndefined();
    expect(table.match('a.example', '/y/x/1')).toBeUndefined();
  });
});

describe('RouteDocumentRegister', () => {
  function put(register: RouteDocumentRegister, version: number, text: string): boolean {
    const command = encodeRouteDocument({ version, content: Buffer.from(text) });
    return decodeRouteDocumentOutcome(register.apply(command)).replaced;
  }

  it('keeps the highest version, and the first of equal versions', () => {
    const register = new RouteDocumentRegister();
    expect(put(register, 3, 'first')).toBe(true);
    expect(put(register, 3, 'second')).toBe(false);
    expect(put(register, 2, 'older')).toBe(false);
    expect(Buffer.from(register.current()?.content ?? []).toString()).toBe('first');
    expect(put(register, 4, 'newer')).toBe(true);
  });

  it('is restored from a sectioned snapshot; an older one without sections goes to the main machine', () => {
    const main: StateMachine = {
      apply: (command) => command,
      snapshot: () => Buffer.from('{"main":1}'),
      restore: (snapshot) => void restored.push(Buffer.from(snapshot).toString()),
    };
    const restored: string[] = [];
    const register = new RouteDocumentRegister();
    const machine = new SectionedStateMachine(
      main,
      new Map([[SectionTag.RouteDocument, register]]),
    );
    const document = encodeRouteDocument({ version: 7, content: Buffer.from('seven') });
    machine.apply(sectionCommand(SectionTag.RouteDocument, document), 1);
    expect(Buffer.from(machine.apply(Buffer.from('{"main":2}'), 2)).toString()).toBe('{"main":2}');
    const other = new RouteDocumentRegister();
    const copy = new SectionedStateMachine(main, new Map([[SectionTag.RouteDocument, other]]));
    copy.restore(machine.snapshot());
    expect(other.current()?.version).toBe(7);
    copy.restore(Buffer.from('{"old":1}'));
    expect(restored).toEqual(['{"main":1}', '{"old":1}']);
  });
});
