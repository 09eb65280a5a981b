/** Guards against callers that return before there is room, later than they are willing to, or all together. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { retryTime, type RetryTimeInputs } from '../../../src/router/request/retry-time.js';

const INPUTS: RetryTimeInputs = {
  responseTime: 300,
  latencyObjective: 1_500,
  timeLeft: 2_800,
  minimum: 100,
  hasRoom: false,
  fraction: 0,
};
const LATEST = 2_800 / 3;

function timesOf(inputs: Partial<RetryTimeInputs>): number[] {
  const fractions = Array.from({ length: 100 }, (_, index) => index / 100);
  return fractions.map((fraction) => retryTime({ ...INPUTS, ...inputs, fraction }));
}

describe('the retry time', () => {
  it('begins at its lower bound when there is room by the estimate', () => {
    expect(retryTime(INPUTS)).toEqual(100);
  });

  it('begins when the load has fallen to where the objective is kept', () => {
    // 1,800 ms fall to 0.95 of 1,500 ms.
    expect(retryTime({ ...INPUTS, responseTime: 1_800 })).toEqual(375);
  });

  it('is spread over a short time when room is not what lacked, so that callers are not late by their wait', () => {
    const times = timesOf({ hasRoom: true });
    expect(Math.max(...times)).toBeGreaterThan(245);
    expect(Math.max(...times)).toBeLessThanOrEqual(250);
  });

  it('is spread over as long as room takes to come, so that callers return neither together nor needlessly late', () => {
    const soon = timesOf({});
    expect(Math.min(...soon)).toEqual(100);
    expect(Math.max(...soon)).toBeGreaterThan(345);
    expect(Math.max(...soon)).toBeLessThanOrEqual(350);
    // 1,800 ms fall to 0.95 of 1,500 ms within 375 ms.
    const later = timesOf({ responseTime: 1_800 });
    expect(Math.min(...later)).toEqual(375);
    expect(Math.max(...later)).toBeGreaterThan(740);
    expect(Math.max(...later)).toBeLessThanOrEqual(750);
  });

  it('is spread up to the longest time that callers honour when room comes later than that', () => {
    const times = timesOf({ responseTime: 3_000 });
    expect(Math.min(...times)).toBeLessThanOrEqual(LATEST / 2 + 1e-9);
    expect(Math.max(...times)).toBeGreaterThan(LATEST - 10);
  });

  it('is never longer than callers honour, and spread out for any input', () => {
    for (const responseTime of [0, 80, 240, 1_000, 5_000, Number.POSITIVE_INFINITY]) {
      for (const timeLeft of [120, 300, 945, 2_800]) {
        for (const minimum of [100, 200, 1_000]) {
          const times = timesOf({ responseTime, timeLeft, minimum, latencyObjective: 250 });
          expect(times.every((time) => time >= 0 && time <= timeLeft / 3 + 1e-9)).toEqual(true);
          // No tenth of the range has half of the callers, and the range is a fair part of what is honoured.
          const [first, last] = [Math.min(...times), Math.max(...times)];
          expect(last - first).toBeGreaterThan(timeLeft / 20);
          const share = times.filter((time) => time < first + (last - first) / 10).length;
          expect(share).toBeLessThanOrEqual(12);
        }
      }
    }
  });

  it('is zero when no time is left', () => {
    expect(timesOf({ timeLeft: -5 }).every((time) => time === 0)).toEqual(true);
  });
});
