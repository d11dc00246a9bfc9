import { describe, expect, it } from 'vitest';
import { TeamQueue } from '../../src/policies/team-queue.js';

function createQueue(): TeamQueue<string> {
  const queue = new TeamQueue<string>();
  for (const item of ['a1', 'a2', 'a3', 'a4']) queue.add('a', item);
  for (const item of ['b1', 'b2']) queue.add('b', item);
  return queue;
}

function dequeueAll(queue: TeamQueue<string>): (string | undefined)[] {
  return Array.from({ length: queue.size }, () => queue.dequeue());
}

describe('TeamQueue', () => {
  it('serves teams in turn and the items of a team in order of arrival', () => {
    expect(dequeueAll(createQueue())).toEqual(['a1', 'b1', 'a2', 'b2', 'a3', 'a4']);
  });

  it('counts the items that would be dequeued before a new item of a team', () => {
    const queue = createQueue();
    expect(queue.countAhead('a')).toBe(6);
    expect(queue.countAhead('b')).toBe(5);
    expect(queue.countAhead('c')).toBe(2);
  });

  it('removes the newest item of the team with the most items', () => {
    const queue = createQueue();
    expect(queue.removeNewestOfLongest()).toBe('a4');
    expect(queue.removeNewestOfLongest()).toBe('a3');
    expect(queue.size).toBe(4);
  });

  it('skips deleted items and ignores a second deletion', () => {
    const queue = createQueue();
    queue.delete('b', 'b1');
    queue.delete('b', 'b1');
    expect(dequeueAll(queue)).toEqual(['a1', 'b2', 'a2', 'a3', 'a4']);
  });
});
