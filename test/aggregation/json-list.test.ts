import { describe, expect, it } from 'vitest';
import { readPositions, readStrings } from '../../src/aggregation/json-list.js';
import { MalformedMessageError } from '../../src/protocol/malformed-message-error.js';

describe('a list in a message', () => {
  it('is decoded when its items are valid', () => {
    expect(readStrings('["a","b"]', 'peer', 'shards')).toEqual(['a', 'b']);
    expect(readPositions('[2,0]', 3, 'peer', 'shards')).toEqual([2, 0]);
  });

  it.each(['', '{}', 'null', '[1]', '["a",null]', '["a"'])(
    'is rejected as a list of strings when it is %s',
    (text) => {
      expect(() => readStrings(text, 'peer', 'shards')).toThrow(MalformedMessageError);
    },
  );

  it.each(['[3]', '[-1]', '[0.5]', '["0"]', '[1,1]', '[null]'])(
    'is rejected as a list of distinct positions below three when it is %s',
    (text) => {
      expect(() => readPositions(text, 3, 'peer', 'shards')).toThrow(MalformedMessageError);
    },
  );
});
