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

function isFaultKind(text: string): text is FaultKind {
  return (FAULT_KINDS as readonly string[]).includes(text);
}

function requireFaultKind(text: string): FaultKind {
  const known = `known kinds: ${FAULT_KINDS.join(', ')}`;
  if (!isFaultKind(text)) throw new RangeError(`there is no fault kind "${text}"; ${known}`);
  return text;
}

/**
 * Reads the value of `--faults`; the order written does not matter.
 *
 * @throws RangeError naming a kind that is unknown.
 */
export function parseFaultKinds(text: string): readonly FaultKind[] {
  if (text === 'none') return [];
  const named = new Set(text.split(',').map((part) => requireFaultKind(part.trim())));
  return FAULT_KINDS.filter((kind) => named.has(kind));
}
