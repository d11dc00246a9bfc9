import { describe, expect, it } from 'vitest';
import { AnnouncedGateways } from '../../src/directory/announced-gateways.js';
import { GATEWAY_RETENTION_MS } from '../../src/directory/directory-timing.js';
import type { KnownGateway } from '../../src/directory/leaf-gateway.js';
import { ManualClock } from '../support/manual-clock.js';

function announcementOf(...names: string[]): Map<string, KnownGateway> {
  return new Map(names.map((name) => [name, { name, zone: 'a', address: `${name}:1` }]));
}

/** Announcements of open streams, which a test opens and ends. */
function createView() {
  const clock = new ManualClock();
  const streams = new Set<Map<string, KnownGateway>>();
  const view = new AnnouncedGateways({
    clock,
    announcements: () => [...streams],
    select: (gateways) => gateways,
  });
  const open = (...names: string[]): Map<string, KnownGateway> => {
    const announcement = announcementOf(...names);
    streams.add(announcement);
    view.update();
    return announcement;
  };
  const end = (announcement: Map<string, KnownGateway>): void => {
    streams.delete(announcement);
    view.handleStreamEnd(announcement);
  };
  const names = (): string[] => view.current.map(({ name }) => name).sort();
  return { clock, view, open, end, names };
}

describe('AnnouncedGateways', () => {
  it('keeps what a stream announced when another one with fewer gateways follows', () => {
    const { open, end, names } = createView();
    end(open('a', 'b', 'c'));
    open('a');
    expect(names()).toEqual(['a', 'b', 'c']);
  });

  it('drops what no stream announces again within the retention', () => {
    const { clock, open, end, names } = createView();
    const former = open('a', 'b');
    open('a');
    end(former);
    clock.advance(GATEWAY_RETENTION_MS - 1);
    expect(names()).toEqual(['a', 'b']);
    clock.advance(1);
    expect(names()).toEqual(['a']);
  });

  it('does not count the time without any stream', () => {
    const { clock, open, end, names } = createView();
    end(open('a', 'b'));
    clock.advance(4 * GATEWAY_RETENTION_MS);
    expect(names()).toEqual(['a', 'b']);
    open('a');
    clock.advance(GATEWAY_RETENTION_MS - 1);
    expect(names()).toEqual(['a', 'b']);
    clock.advance(1);
    expect(names()).toEqual(['a']);
  });

  it('drops at once a gateway that a stream withdraws', () => {
    const { view, open, end, names } = createView();
    end(open('a', 'b'));
    const current = open('a', 'b');
    current.delete('b');
    view.update(['b']);
    expect(names()).toEqual(['a']);
  });

  it('creates a new array only when the gateways change', () => {
    const { view, open, end } = createView();
    const former = open('a', 'b');
    const before = view.current;
    open('b', 'a');
    end(former);
    expect(view.current).toBe(before);
    open('c');
    expect(view.current).not.toBe(before);
  });

  it('takes the newer address of a retained gateway', () => {
    const { view, open, end } = createView();
    end(open('a'));
    const current = open('b');
    current.set('a', { name: 'a', zone: 'a', address: 'a:2' });
    view.update();
    expect(view.current.find(({ name }) => name === 'a')?.address).toBe('a:2');
  });
});
