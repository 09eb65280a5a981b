import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import { coldInterval, coldRate } from '../../../src/router/request/cold-admission.js';
import { Turns } from '../../../src/router/sharing/turns.js';

/** 1.5 times the 4.2 requests a second that a server bears, and 8. */
const MOST = 14.3;
const HORIZON = 4_000;
const SECOND = 1_000;

interface Fleet {
  readonly daemons: number;
  /** Requests a second of one daemon that could go to the server. */
  readonly demand: number;
  /** One daemon in this many is started again in each second, and forgets. */
  readonly restartOneIn: number;
}

/** When requests reach one cold server that every daemon likes best. */
function arrivals({ daemons, demand, restartOneIn }: Fleet, random: SeededRandom): number[] {
  const interval = coldInterval(MOST, daemons);
  const sent: number[] = [];
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    let turns = new Turns(random.fraction());
    // Daemons hear of the server one after the other, and their clocks have nothing in common.
    const knownAt = random.fraction() * 500;
    const clock = random.fraction() * 1e6;
    for (let now = knownAt; now < HORIZON; now += -Math.log(1 - random.fraction()) * (SECOND / demand)) {
      if (random.fraction() < 1 / (restartOneIn * demand)) {
        turns = new Turns(random.fraction());
      }
      if (turns.allows(interval, clock + now)) {
        turns.use(clock + now);
        sent.push(now);
      }
    }
  }
  return sent.sort((left, right) => left - right);
}

/** The most requests in any second. */
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

describe('what a cold server gets', () => {
  it('is never more in a second than it may be, of any fleet', () => {
    fc.assert(
      fc.property(fleets, fc.integer({ min: 1, max: 1e6 }), (fleet, seed) => {
        return busiestSecond(arrivals(fleet, new SeededRandom(seed))) <= MOST;
      }),
      { seed: 7, numRuns: 600 },
    );
  });

  it('is a good part of what it may be when every daemon has requests for it', () => {
    for (const daemons of [11, 74, 570]) {
      const sent = arrivals({ daemons, demand: 20, restartOneIn: 1e6 }, new SeededRandom(daemons));
      expect(sent.length > 0.7 * coldRate(MOST) * (HORIZON / SECOND)).toEqual(true);
    }
  });

  it('is one request a turn of each daemon, however many it has', () => {
    const turns = new Turns(0);
    const interval = coldInterval(MOST, 11);
    let sent = 0;
    for (let now = 0; now < interval; now += 5) {
      if (turns.allows(interval, now)) {
        turns.use(now);
        sent += 1;
      }
    }
    expect(sent).toEqual(1);
  });
});
