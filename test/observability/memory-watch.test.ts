import { describe, expect, it } from 'vitest';
import type { LogFields, Logger } from '../../src/observability/logger.js';
import { MemoryWatch, type MemoryReader } from '../../src/observability/memory-watch.js';

const MEGABYTE = 1_048_576;
const LIMIT_BYTES = 350 * MEGABYTE;

interface Line {
  readonly message: string;
  readonly fields: LogFields | undefined;
}

/** A watch over a process whose buffers grow and shrink as the test says. */
function createWatch() {
  const lines: Line[] = [];
  const write = (message: string, fields?: LogFields): number => lines.push({ message, fields });
  const logger: Logger = { info: write, warn: write, error: write, child: () => logger };
  let bufferBytes = 0;
  const baseBytes = 70 * MEGABYTE;
  const reader: MemoryReader = {
    residentBytes: () => baseBytes + bufferBytes,
    read: () => ({
      residentBytes: baseBytes + bufferBytes,
      heapUsedBytes: 20 * MEGABYTE,
      heapTotalBytes: 30 * MEGABYTE,
      externalBytes: bufferBytes,
      bufferBytes,
      openDescriptors: 40,
    }),
  };
  const held = () => ({
    responseBytes: bufferBytes,
    requestBytes: 0,
    messageBytes: 0,
    unservedBytes: 0,
  });
  const watch = new MemoryWatch({ reader, held, limitBytes: LIMIT_BYTES, logger });
  const use = (megabytes: number): void => {
    bufferBytes = megabytes * MEGABYTE - baseBytes;
    watch.check();
  };
  return { lines, use };
}

describe('memory watch', () => {
  it('tells by which kind of memory a process came near its limit, before it is killed', () => {
    const { lines, use } = createWatch();
    use(100);
    expect(lines).toEqual([]);
    use(320);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatchObject({
      message: 'memory rose',
      fields: {
        residentBytes: 320 * MEGABYTE,
        bufferBytes: 250 * MEGABYTE,
        responseBytes: 250 * MEGABYTE,
        requestBytes: 0,
        heapUsedBytes: 20 * MEGABYTE,
        limitBytes: LIMIT_BYTES,
        fraction: 0.91,
        openDescriptors: 40,
      },
    });
  });

  it('writes one line a level, however often the memory swings around it', () => {
    const { lines, use } = createWatch();
    for (let swing = 0; swing < 100; swing += 1) use(swing % 2 === 0 ? 212 : 200);
    expect(lines.map(({ message }) => message)).toEqual(['memory rose']);
    use(120);
    expect(lines.map(({ message }) => message)).toEqual(['memory rose', 'memory fell']);
  });
});
