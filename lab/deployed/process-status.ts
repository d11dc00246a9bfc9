/** A process as Linux shows it in `/proc`. */
import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';

const BYTES_PER_KIB = 1_024;

function statusPath(pid: number): string {
  return `/proc/${pid}/status`;
}

/** Highest resident memory so far, bytes; undefined when the process is gone. */
export async function readPeakBytes(pid: number): Promise<number | undefined> {
  const status = await readFile(statusPath(pid), 'utf8').catch(() => '');
  const kibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
  return kibibytes === undefined ? undefined : Number(kibibytes) * BYTES_PER_KIB;
}

/** Whether the process has a handler for the signal of this number. @throws Error when it is gone. */
export function catchesSignal(pid: number, signal: number): boolean {
  const mask = /^SigCgt:\s+([0-9a-f]+)$/m.exec(readFileSync(statusPath(pid), 'utf8'))?.[1];
  return ((BigInt(`0x${mask ?? '0'}`) >> BigInt(signal - 1)) & 1n) === 1n;
}
