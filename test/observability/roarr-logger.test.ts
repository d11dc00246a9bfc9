import { expect, it } from 'vitest';
import { createRoarrLogger } from '../../src/observability/roarr-logger.js';

it('writes lines without any environment variable being set', () => {
  const lines: string[] = [];
  const logger = createRoarrLogger(false, (line) => lines.push(line));
  logger.child({ peer: '127.0.0.1:7500' }).info('listening', { port: 7400 });
  expect(lines).toHaveLength(1);
  expect(JSON.parse(lines[0] ?? '')).toMatchObject({
    message: 'listening',
    context: { peer: '127.0.0.1:7500', port: 7400 },
  });
});
