/** Faults that take a number in an event for a count of steps, or for a length. */
import type { RouterEvent } from '../../src/router/events.js';

/** Longest loop of a planted fault: over the bound on steps, and short enough for a test. */
const LONGEST_LOOP = 50_000;

function slotsIn(event: RouterEvent): number {
  return event.kind === 'serversChanged'
    ? Math.max(0, ...event.changes.map(({ server }) => server?.slots ?? 0))
    : 0;
}

/** Takes a step for each slot in an event. */
export function loopOverSlots(event: RouterEvent): number {
  const slots = Math.min(LONGEST_LOOP, slotsIn(event));
  let sum = 0;
  for (let slot = 0; slot < slots; slot += 1) {
    sum += slot;
  }
  return sum;
}

/** Builds a list with a place for each slot in an event, which throws beyond the longest list. */
export function listSlots(event: RouterEvent): unknown[] {
  return new Array(slotsIn(event));
}
