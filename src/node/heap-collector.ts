/** Runs the collector of the heap, which Node offers only behind a flag. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

type Collect = (options?: { readonly type: 'minor' }) => void;

let collect: Collect | undefined;

/** The function exists in contexts that are created once the flag is set. */
function collector(): Collect {
  if (collect === undefined) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as Collect;
    setFlagsFromString('--no-expose-gc');
  }
  return collect;
}

/** Collects the young generation. */
export function collectYoungGeneration(): void {
  collector()({ type: 'minor' });
}

/** Collects the whole heap. */
export function collectHeap(): void {
  collector()();
}
