/** Guards against a route that gets nothing for as long as more urgent requests wait. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { MinimumShare } from '../../../src/router/request/minimum-share.js';

const TICK = 20;

/** Returns the share of the slots' time that less urgent requests use, each of which takes 300 ms, when they are sent whenever allowed. */
function usedShare(slots: number): number {
  const share = new MinimumShare();
  const ends: number[] = [];
  let used = 0;
  const end = 60_000;
  for (let now = 0; now < end; now += TICK) {
    const running = ends.filter((time) => time > now).length;
    used += running * TICK;
    share.update(running, slots, now);
    if (share.allowsSend(100)) {
      share.recordSend();
      ends.push(now + 300);
    }
  }
  return used / (slots * end);
}

describe('the minimum share', () => {
  it('gives less urgent requests about a tenth of the capacity', () => {
    for (const slots of [2, 4, 12]) {
      expect(usedShare(slots)).toBeGreaterThan(0.08);
      expect(usedShare(slots)).toBeLessThan(0.13);
    }
  });

  // An urgent request is held for 55 ms; sent ahead of it, a longer one would take the place that it waits for.
  it('gives nothing while more urgent requests wait for a short time only', () => {
    const share = new MinimumShare();
    for (let now = 1_000; now <= 1_060; now += TICK) {
      share.update(0, 10, now);
      expect(share.allowsSend(80)).toEqual(false);
    }
  });

  it('gives nothing at the first moment, nor for time in which nobody waited', () => {
    const share = new MinimumShare();
    share.update(0, 10, 1_000);
    expect(share.allowsSend(80)).toEqual(false);
    share.update(0, 10, 9_000);
    expect(share.allowsSend(80)).toEqual(false);
  });
});
