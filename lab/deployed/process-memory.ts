/** The memory of a process, as Linux tells it. */
import { readFile } from 'node:fs/promises';

const BYTES_PER_KIB = 1_024;

/** Highest resident memory so far, bytes; undefined when the process is gone. */
export async function readPeakBytes(pid: number): Promise<number | undefined> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const kibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
  return kibibytes === undefined ? undefined : Number(kibibytes) * BYTES_PER_KIB;
}
