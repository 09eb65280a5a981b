/**
 * Scenarios by name: `calm` without faults, a fault alone, several faults as `one+two`, and `all`. The prefix
 * `two-sides+` runs the faults on two sides that hand units over to each other.
 */
import { FAULT_KINDS, type FaultKind } from './faults.js';
import type { Scenario } from './run.js';

function isFaultKind(name: string): name is FaultKind {
  return (FAULT_KINDS as readonly string[]).includes(name);
}

/** Returns the scenario with a name, or undefined if the name is invalid. */
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

/** Faults that apply to a system with one side: a cut between sides has no effect there. */
const SINGLE_SIDE_FAULTS = FAULT_KINDS.filter((kind) => kind !== 'side-cut');

/** Returns a scenario for each fault alone. */
export function singleFaultScenarios(): Scenario[] {
  return SINGLE_SIDE_FAULTS.map((kind) => ({ name: kind, faults: [kind] }));
}

/** Returns a scenario for each pair of different faults. */
export function pairedFaultScenarios(): Scenario[] {
  return SINGLE_SIDE_FAULTS.flatMap((one, index) =>
    SINGLE_SIDE_FAULTS.slice(index + 1).map((two) => ({ name: `${one}+${two}`, faults: [one, two] })),
  );
}
