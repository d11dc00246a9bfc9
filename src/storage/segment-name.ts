/** Names of segment files. */

export const LOG_DIRECTORY = 'log';
const SUFFIX = '.segment';
const SEQUENCE_DIGITS = 10;

/** Path of the segment with a sequence number, relative to the data folder. */
export function segmentPath(sequence: number): string {
  return `${LOG_DIRECTORY}/${String(sequence).padStart(SEQUENCE_DIGITS, '0')}${SUFFIX}`;
}

/** The sequence number in a file name, or undefined when it names no segment. */
export function parseSegmentName(name: string): number | undefined {
  if (!name.endsWith(SUFFIX)) return undefined;
  const sequence = Number(name.slice(0, -SUFFIX.length));
  return Number.isInteger(sequence) ? sequence : undefined;
}
