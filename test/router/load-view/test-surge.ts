import { expect } from 'earl';
import { describe, it } from 'node:test';
import { BULK, LoadSurge, URGENT } from '../support/load-surge.js';

const SETTLED = 8_000;
/** Every daemon must know of a surge this many milliseconds after its start. */
const MAX_SURGE_DELAY = 500;
const SURGE_FACTOR = 2.5;
/** The surge is known when the view shows this multiple of the usual demand. */
const KNOWN_FACTOR = 1.5;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const STEP = 100;

/** Returns the lowest demand in any daemon's view when the surge of a route must be known, as a multiple of the usual one. */
function lowestDemandSeen(seed: number, daemons: number, priority: number): number {
  const surge = new LoadSurge(seed, daemons);
  const { clock } = surge.simulation;
  clock.runUntil(SETTLED);
  const usual = surge.demand(priority);
  surge.factors[priority] = SURGE_FACTOR;
  clock.runUntil(SETTLED + MAX_SURGE_DELAY);
  const views = surge.running().map((daemon) => surge.viewAt(daemon));
  expect(views.every(({ source }) => source === 'fleet')).toEqual(true);
  return Math.min(...views.map((view) => view.demandSlots(priority) / usual));
}

describe('the load view in a surge of one route', () => {
  for (const daemons of [20, 60]) {
    // Guards against a surge of which urgent requests suffer before daemons reserve servers for them.
    for (const priority of [URGENT, BULK]) {
      it(`is known to each of ${daemons} daemons within half a second, priority ${priority}`, () => {
        const lowest = SEEDS.map((seed) => lowestDemandSeen(seed, daemons, priority));
        expect(lowest.filter((factor) => factor < KNOWN_FACTOR)).toEqual([]);
      });
    }

    // Guards against demand that is counted twice, or not at all, on its way through relays.
    it(`shows the true demand without a surge, ${daemons} daemons`, () => {
      const surge = new LoadSurge(11, daemons);
      const { clock } = surge.simulation;
      clock.runUntil(SETTLED);
      const sums = new Map([URGENT, BULK].map((priority) => [priority, 0]));
      let samples = 0;
      for (; clock.now < 2 * SETTLED; samples += 1) {
        clock.runUntil(clock.now + STEP);
        const view = surge.viewAt(surge.running()[samples % daemons] as never);
        expect([view.source, view.priorities]).toEqual(['fleet', [URGENT, BULK]]);
        sums.forEach((sum, priority) => sums.set(priority, sum + view.demandSlots(priority)));
      }
      for (const [priority, sum] of sums) {
        const ratio = sum / samples / surge.demand(priority);
        expect([priority, ratio > 0.8 && ratio < 1.25, ratio]).toEqual([priority, true, ratio]);
      }
    });
  }
});
