import { expect } from 'earl';
import { describe, it } from 'node:test';
import { BULK, LoadSurge, URGENT } from '../support/load-surge.js';

const SETTLED = 8_000;
/** Every daemon must know of a surge within this time in milliseconds. */
const MAX_SURGE_DELAY = 500;
/** A surge to 2.5 times the demand counts as known when the view shows this multiple. */
const KNOWN_FACTOR = 1.5;
const SURGE_FACTOR = 2.5;
const STEP = 10;

/** Returns after how many milliseconds the last daemon knows of a surge of the less urgent route. */
function surgeDelay(seed: number, daemons: number): number {
  const surge = new LoadSurge(seed, daemons);
  const { clock } = surge.simulation;
  clock.runUntil(SETTLED);
  const usual = surge.demand(BULK);
  surge.factors[BULK] = SURGE_FACTOR;
  const unaware = new Set(surge.running());
  while (unaware.size > 0 && clock.now < SETTLED + 4 * MAX_SURGE_DELAY) {
    clock.runUntil(clock.now + STEP);
    for (const daemon of unaware) {
      const view = surge.viewAt(daemon);
      if (view.source === 'fleet' && view.demandSlots(BULK) >= usual * KNOWN_FACTOR) {
        unaware.delete(daemon);
      }
    }
  }
  return clock.now - SETTLED;
}

describe('the load view in a surge of one route', () => {
  for (const daemons of [20, 60]) {
    // Guards against a surge that urgent routes suffer from before the daemons reserve servers for them.
    it(`is known to each of ${daemons} daemons within half a second`, () => {
      const delays = [1, 2, 3, 4, 5, 6].map((seed) => surgeDelay(seed, daemons));
      console.log(daemons, delays);
      expect(Math.max(...delays) <= MAX_SURGE_DELAY).toEqual(true);
    });
  }

  // Guards against a view in which demand is counted twice, or not at all, on its way through relays.
  it('shows the demand of each priority and the mean load of the servers at every daemon', () => {
    const surge = new LoadSurge(7, 60);
    surge.simulation.clock.runUntil(SETTLED);
    for (const daemon of surge.running()) {
      const view = surge.viewAt(daemon);
      console.log(view.source, view.demandSlots(URGENT), view.demandSlots(BULK), view.meanLoad(false));
      expect(view.source).toEqual('fleet');
      expect(view.priorities).toEqual([URGENT, BULK]);
    }
    console.log(surge.demand(URGENT), surge.demand(BULK));
  });
});
