import { expect } from 'earl';
import { describe, it } from 'node:test';
import { KeyLoad } from '../../../src/router/ownership/key-load.js';

/** Asks for a key 100 times a second from 1,000 ms on; the rate that is worked out at a time. */
function rateAt(end: number): number {
  const load = new KeyLoad();
  for (let now = 1_000; now <= end; now += 10) {
    load.add({ keys: [7], counts: [1] }, now);
  }
  return load.rates(end)[0]?.rate ?? 0;
}

describe('the load of keys', () => {
  it('is told in requests a second', () => {
    expect(Math.abs(rateAt(9_000) - 100) < 10).toEqual(true);
  });

  // Found by a played day: 0.6 s after the first request, a rate came out at a third of what it was.
  it('is told as well soon after the first request', () => {
    expect(Math.abs(rateAt(1_300) - 100) < 10).toEqual(true);
    expect(Math.abs(rateAt(1_600) - 100) < 10).toEqual(true);
  });

  it('forgets keys that nobody asks for any more', () => {
    const load = new KeyLoad();
    load.add({ keys: [7], counts: [1] }, 1_000);
    expect(load.rates(9_000)).toEqual([]);
  });
});
