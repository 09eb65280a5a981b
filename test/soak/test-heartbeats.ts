import { expect } from 'earl';
import { describe, it } from 'node:test';
import { Heartbeats } from './heartbeats.js';

describe('the heartbeats of a process', () => {
  // A daemon that the machine did not run for 0.5 s after its resumption counted as one that works for callers that have left.
  it('show since when the machine has run it, and whether it does', () => {
    const heartbeats = new Heartbeats();
    heartbeats.receive('1000\n1020\n10');
    heartbeats.receive('40\n');
    expect([heartbeats.runsSince, heartbeats.isRunningAt(1_240), heartbeats.isRunningAt(1_250)]).toEqual([
      1_000,
      true,
      false,
    ]);
    heartbeats.receive('1900\n1920\n');
    expect([heartbeats.runsSince, heartbeats.longestGap]).toEqual([1_900, 860]);
  });

  it('begin anew with each process', () => {
    const heartbeats = new Heartbeats();
    heartbeats.receive('1000\n');
    heartbeats.restart();
    heartbeats.receive('9000\n');
    expect([heartbeats.runsSince, heartbeats.longestGap]).toEqual([9_000, 0]);
  });
});
