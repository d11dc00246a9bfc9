/** Columns of text, as wide as their widest cell. */

/** One line for the header and one for each row. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  return lines
    .map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '))
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
}

/** A wall time as people read it. */
export function formatTime(milliseconds: number): string {
  return new Date(milliseconds).toISOString();
}
