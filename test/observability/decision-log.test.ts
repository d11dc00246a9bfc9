import { describe, expect, it } from 'vitest';
import { Simulation } from '../../lab/simulation/simulation.js';
import { DecisionKind, DecisionLog } from '../../src/observability/decision-log.js';
import { SILENT_LOGGER, type LogFields, type Logger } from '../../src/observability/logger.js';

interface Line {
  readonly message: string;
  readonly fields: LogFields;
}

function collect(lines: Line[]): Logger {
  return { ...SILENT_LOGGER, info: (message, fields = {}) => void lines.push({ message, fields }) };
}

describe('DecisionLog', () => {
  it('bounds the lines of a flood, and counts those left out', async () => {
    const simulation = new Simulation(1);
    const { clock } = simulation.createMachine('gateway', 'a').environment;
    const lines: Line[] = [];
    const log = new DecisionLog(clock, collect(lines));
    for (let index = 0; index < 10_000; index += 1)
      log.write(DecisionKind.Failed, () => ({ index }));
    const written = lines.length;
    expect(written).toBeLessThan(100);
    await simulation.runFor(1_000);
    log.write(DecisionKind.Failed, () => ({ index: -1 }));
    expect(lines.at(-1)?.fields).toEqual({ index: -1, omitted: 10_000 - written });
  });

  it('keeps room for failures while uneventful requests flood', () => {
    const simulation = new Simulation(1);
    const { clock } = simulation.createMachine('gateway', 'a').environment;
    const lines: Line[] = [];
    const log = new DecisionLog(clock, collect(lines));
    for (let index = 0; index < 1_000; index += 1)
      log.write(DecisionKind.Answered, () => ({ index }));
    expect(lines.length).toBeLessThan(10);
    log.write(DecisionKind.Refused, () => ({ why: 'full' }));
    expect(lines.at(-1)?.message).toBe(DecisionKind.Refused);
  });
});
