import { expect } from 'earl';
import { describe, it } from 'node:test';
import { KeyLoad } from '../../../src/router/ownership/key-load.js';

/** Requests a key 100 times per second from 1,000 ms on, and returns the estimated rate at the given time. */
function rateAt(end: number): number {
  const load = new KeyLoad();
  for (let now = 1_000; now <= end; now += 10) {
    load.add({ keys: [7], counts: [1] }, now);
  }
  return load.rates(end)[0]?.rate ?? 0;
}

describe('the key load', () => {
  it('is estimated in requests per second', () => {
    expect(Math.abs(rateAt(9_000) - 100) < 10).toEqual(true);
  });

  // Guards against rates that are too low at first: 0.6 s after the first request, a rate was estimated at a
  // third of its true value.
  it('is also correct soon after the first request', () => {
    expect(Math.abs(rateAt(1_300) - 100) < 10).toEqual(true);
    expect(Math.abs(rateAt(1_600) - 100) < 10).toEqual(true);
  });

  it('drops keys that are no longer requested', () => {
    const load = new KeyLoad();
    load.add({ keys: [7], counts: [1] }, 1_000);
    expect(load.rates(9_000)).toEqual([]);
  });
});
