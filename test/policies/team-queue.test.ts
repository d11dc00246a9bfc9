import { describe, expect, it } from 'vitest';
import { TeamQueue } from '../../src/policies/team-queue.js';

function createQueue(): TeamQueue<string> {
  const queue = new TeamQueue<string>();
  for (const item of ['a1', 'a2', 'a3', 'a4']) queue.add('a', item);
  for (const item of ['b1', 'b2']) queue.add('b', item);
  return queue;
}

function takeAll(queue: TeamQueue<string>): (string | undefined)[] {
  return Array.from({ length: queue.size }, () => queue.dequeue());
}

describe('TeamQueue', () => {
  it('serves teams in turn and each in order of arrival', () => {
    expect(takeAll(createQueue())).toEqual(['a1', 'b1', 'a2', 'b2', 'a3', 'a4']);
  });

  it('knows how many leave before a newcomer', () => {
    const queue = createQueue();
    expect(queue.countAhead('a')).toBe(6);
    expect(queue.countAhead('b')).toBe(5);
    expect(queue.countAhead('c')).toBe(2);
  });

  it('makes room at the end of the longest', () => {
    const queue = createQueue();
    expect(queue.removeNewestOfLongest()).toBe('a4');
    expect(queue.removeNewestOfLongest()).toBe('a3');
    expect(queue.size).toBe(4);
  });

  it('forgets what is taken out of the middle', () => {
    const queue = createQueue();
    queue.delete('b', 'b1');
    queue.delete('b', 'b1');
    expect(takeAll(queue)).toEqual(['a1', 'b2', 'a2', 'a3', 'a4']);
  });
});
