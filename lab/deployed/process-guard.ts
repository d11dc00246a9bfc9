/** Kills processes when the process that started them is gone, however that ended. */
import { spawn, type ChildProcess } from 'node:child_process';
import type { Writable } from 'node:stream';

/** Reads `+PID` and `-PID` lines; at their end it kills the processes that are left. */
const PROGRAM = `
  pids=' '
  while read -r line; do
    pid=\${line#?}
    case $line in
      +*) pids="$pids$pid " ;;
      -*) pids="\${pids%% $pid *} \${pids#* $pid }" ;;
    esac
  done
  for pid in $pids; do kill -KILL "$pid"; done
`;

/** Daemons keep the command line and environment of a deployment, so a process beside them watches. */
export class ProcessGuard {
  private readonly child: ChildProcess;
  private readonly input: Writable;

  constructor() {
    const child = spawn('sh', ['-c', PROGRAM], {
      // Outlives signals to this process's group.
      detached: true,
      stdio: ['pipe', 'ignore', 'ignore'],
    });
    child.unref();
    this.child = child;
    this.input = child.stdin;
    this.input.on('error', () => undefined);
  }

  add(pid: number): void {
    this.input.write(`+${pid}\n`);
  }

  remove(pid: number): void {
    this.input.write(`-${pid}\n`);
  }

  /** Kills the processes that are left and ends. */
  async close(): Promise<void> {
    const ended = new Promise<void>((resolve) => this.child.once('exit', () => resolve()));
    this.input.end();
    await ended;
  }
}
