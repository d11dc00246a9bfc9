/** Sums up a profile that Node's `--cpu-prof` wrote: where the time went, by part and by function. */

/** The parts of a `.cpuprofile` that are read. */
export interface CpuProfile {
  readonly nodes: readonly {
    readonly id: number;
    readonly callFrame: {
      readonly functionName: string;
      readonly url: string;
      readonly lineNumber: number;
    };
  }[];
  readonly samples: readonly number[];
  /** Microseconds between samples. */
  readonly timeDeltas: readonly number[];
}

/** Self time of one function or part. */
export interface ProfileShare {
  readonly name: string;
  /** Of the time the process was not idle, 0 to 1. */
  readonly share: number;
}

/** Where the time of a process went. */
export interface ProfileSummary {
  readonly busyMicroseconds: number;
  readonly parts: readonly ProfileShare[];
  readonly functions: readonly ProfileShare[];
}

const IDLE = '(idle)';
const FUNCTIONS_LISTED = 30;

/** `src/router`, `node_modules/undici`, `node:net` or V8's own, such as `(garbage collector)`. */
function partOf(functionName: string, url: string): string {
  if (url.startsWith('node:')) return url.split('/').slice(0, 2).join('/');
  const library = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(url);
  if (library !== null) return `node_modules/${library[1]}`;
  const own = /dist\/((?:src|lab)\/[^/]+)/.exec(url);
  return own?.[1] ?? functionName;
}

function fileOf(url: string): string {
  return url.replace(/^.*\/(dist|node_modules)\//, '');
}

function toShares(times: ReadonlyMap<string, number>, total: number): ProfileShare[] {
  return [...times]
    .map(([name, time]) => ({ name, share: time / total }))
    .sort((left, right) => right.share - left.share);
}

/** Sums self times. */
export function summarizeCpuProfile(profile: CpuProfile): ProfileSummary {
  const parts = new Map<string, number>();
  const functions = new Map<string, number>();
  const frames = new Map(profile.nodes.map((node) => [node.id, node.callFrame]));
  let busyMicroseconds = 0;
  profile.samples.forEach((id, index) => {
    const frame = frames.get(id);
    const time = profile.timeDeltas[index] ?? 0;
    if (frame === undefined || frame.functionName === IDLE) return;
    busyMicroseconds += time;
    const part = partOf(frame.functionName, frame.url);
    const place = `${frame.functionName || '(anonymous)'} ${fileOf(frame.url)}:${frame.lineNumber + 1}`;
    parts.set(part, (parts.get(part) ?? 0) + time);
    functions.set(place, (functions.get(place) ?? 0) + time);
  });
  return {
    busyMicroseconds,
    parts: toShares(parts, busyMicroseconds),
    functions: toShares(functions, busyMicroseconds).slice(0, FUNCTIONS_LISTED),
  };
}
