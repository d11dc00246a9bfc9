/** The kinds of faults a schedule may hold. */

/** In the order of `--faults`. */
export const FAULT_KINDS = [
  'cuts',
  'crashes',
  'disks',
  'stragglers',
  'publishes',
  'repartitions',
  'drains',
  'operators',
  'skew',
] as const;
export type FaultKind = (typeof FAULT_KINDS)[number];

/** Not built yet; asking for one is an error. */
const NOT_BUILT: readonly FaultKind[] = ['repartitions'];

/** The kinds that can be asked for. */
export const BUILT_FAULT_KINDS = FAULT_KINDS.filter((kind) => !NOT_BUILT.includes(kind));

function isFaultKind(text: string): text is FaultKind {
  return (FAULT_KINDS as readonly string[]).includes(text);
}

function requireFaultKind(text: string): FaultKind {
  const known = `known kinds: ${BUILT_FAULT_KINDS.join(', ')}`;
  if (!isFaultKind(text)) throw new RangeError(`there is no fault kind "${text}"; ${known}`);
  if (NOT_BUILT.includes(text)) throw new RangeError(`"${text}" is not built yet; ${known}`);
  return text;
}

/**
 * Reads the value of `--faults`; the order written does not matter.
 *
 * @throws RangeError naming a kind that is unknown or not built yet.
 */
export function parseFaultKinds(text: string): readonly FaultKind[] {
  if (text === 'none') return [];
  const named = new Set(text.split(',').map((part) => requireFaultKind(part.trim())));
  return FAULT_KINDS.filter((kind) => named.has(kind));
}
