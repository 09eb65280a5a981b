/**
 * Scenarios by name: no fault, each fault alone, each pair of faults as `one+two`, and all of them.
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
  const faults = name.split('+');
  return faults.every(isFaultKind) ? { name, faults } : undefined;
}

/** Each fault alone. */
export function singleFaultScenarios(): Scenario[] {
  return FAULT_KINDS.map((kind) => ({ name: kind, faults: [kind] }));
}

/** Each pair of different faults. */
export function pairedFaultScenarios(): Scenario[] {
  return FAULT_KINDS.flatMap((one, index) =>
    FAULT_KINDS.slice(index + 1).map((two) => ({ name: `${one}+${two}`, faults: [one, two] })),
  );
}
