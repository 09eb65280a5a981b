/**
 * Scenarios by name: no fault, each fault alone, each pair of faults as `one+two`, and all of them; with
 * `two-sides` in front, on two sides that hand units over to each other.
 */
import { FAULT_KINDS, type FaultKind } from './faults.js';
import type { Scenario } from './run.js';

function isFaultKind(name: string): name is FaultKind {
  return (FAULT_KINDS as readonly string[]).includes(name);
}

/** The scenario of a name, or undefined. */
export function findScenario(name: string): Scenario | undefined {
  if (name === 'calm') {
    return { name, faults: [] };
  }
  if (name === 'all') {
    return { name, faults: FAULT_KINDS };
  }
  const [first, ...others] = name.split('+');
  const twoSides = first === 'two-sides';
  const faults = twoSides ? others : [first ?? '', ...others];
  return faults.every(isFaultKind) ? { name, faults, twoSides } : undefined;
}

/** A cut between sides says nothing on one side. */
const ONE_SIDE_FAULTS = FAULT_KINDS.filter((kind) => kind !== 'side-cut');

/** Each fault alone. */
export function singleFaultScenarios(): Scenario[] {
  return ONE_SIDE_FAULTS.map((kind) => ({ name: kind, faults: [kind] }));
}

/** Each pair of different faults. */
export function pairedFaultScenarios(): Scenario[] {
  return ONE_SIDE_FAULTS.flatMap((one, index) =>
    ONE_SIDE_FAULTS.slice(index + 1).map((two) => ({ name: `${one}+${two}`, faults: [one, two] })),
  );
}
