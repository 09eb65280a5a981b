import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import { coldSendInterval, meanColdRate } from '../../../src/router/request/cold-admission.js';
import { SendWindows } from '../../../src/router/sharing/send-windows.js';

/** Bound on the requests in a second: 1.5 times the 4.2 requests a second that a cold server can handle, plus 8. */
const MAX_PER_SECOND = 14.3;
const DURATION = 4_000;
const SECOND = 1_000;

interface Fleet {
  readonly daemons: number;
  /** Requests a second that one daemon has for the server. */
  readonly demand: number;
  /** One daemon in this many restarts in each second and loses its state. */
  readonly restartOneIn: number;
}

/** Returns the times at which requests reach a cold server that every daemon prefers. */
function simulateArrivals({ daemons, demand, restartOneIn }: Fleet, random: SeededRandom): number[] {
  const interval = coldSendInterval(MAX_PER_SECOND, daemons);
  const sent: number[] = [];
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    let turns = new SendWindows(random.fraction());
    // Daemons learn of the server at different times, and their clocks are independent.
    const knownAt = random.fraction() * 500;
    const clock = random.fraction() * 1e6;
    for (let now = knownAt; now < DURATION; now += -Math.log(1 - random.fraction()) * (SECOND / demand)) {
      if (random.fraction() < 1 / (restartOneIn * demand)) {
        turns = new SendWindows(random.fraction());
      }
      if (turns.allows(interval, clock + now)) {
        turns.recordSend(clock + now);
        sent.push(now);
      }
    }
  }
  return sent.sort((left, right) => left - right);
}

/** Returns the maximum number of requests in any second. */
function busiestSecond(times: readonly number[]): number {
  let busiest = 0;
  let first = 0;
  times.forEach((time, index) => {
    while (time - (times[first] as number) > SECOND) {
      first += 1;
    }
    busiest = Math.max(busiest, index - first + 1);
  });
  return busiest;
}

const fleets = fc.record({
  daemons: fc.constantFrom(1, 3, 11, 74, 195, 570),
  demand: fc.constantFrom(0.1, 1, 10, 50),
  restartOneIn: fc.constantFrom(5, 50, 1_000),
});

describe('the requests to a cold server', () => {
  it('never exceed the bound in any second, whatever the number of daemons', () => {
    fc.assert(
      fc.property(fleets, fc.integer({ min: 1, max: 1e6 }), (fleet, seed) => {
        return busiestSecond(simulateArrivals(fleet, new SeededRandom(seed))) <= MAX_PER_SECOND;
      }),
      { seed: 7, numRuns: 600 },
    );
  });

  it('use most of the allowed rate when every daemon has requests for it', () => {
    for (const daemons of [11, 74, 570]) {
      const sent = simulateArrivals({ daemons, demand: 20, restartOneIn: 1e6 }, new SeededRandom(daemons));
      expect(sent.length > 0.7 * meanColdRate(MAX_PER_SECOND) * (DURATION / SECOND)).toEqual(true);
    }
  });

  it('are one for each send window of a daemon, however many requests it has', () => {
    const turns = new SendWindows(0);
    const interval = coldSendInterval(MAX_PER_SECOND, 11);
    let sent = 0;
    for (let now = 0; now < interval; now += 5) {
      if (turns.allows(interval, now)) {
        turns.recordSend(now);
        sent += 1;
      }
    }
    expect(sent).toEqual(1);
  });
});
