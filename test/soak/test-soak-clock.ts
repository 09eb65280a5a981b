import { expect } from 'earl';
import { describe, it } from 'node:test';
import { earliestArrival, now, pause, recordTurns } from './soak-clock.js';

const BLOCKED_MILLISECONDS = 60;

function blockLoop(milliseconds: number): void {
  const until = now() + milliseconds;
  while (now() < until);
}

describe('the time of an arrival', () => {
  // Arrivals were dated when they were read, so that a stalled checker saw requests arrive up to 0.35 s late.
  it('is not later than the start of a stall during which the request may have arrived', async () => {
    recordTurns();
    await pause(BLOCKED_MILLISECONDS);
    const blockedAt = now();
    blockLoop(BLOCKED_MILLISECONDS);
    await new Promise((resolve) => setImmediate(resolve));
    expect(earliestArrival() <= blockedAt).toEqual(true);
    expect(now() - blockedAt >= BLOCKED_MILLISECONDS).toEqual(true);
  });
});
