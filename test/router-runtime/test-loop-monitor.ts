import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LoopMonitor, type LoopSpell } from '../../src/router-runtime/loop-monitor.js';

const INTERVAL = 20;

/** A monitor whose ticks come as a test says. */
class MonitoredLoop {
  now = 0;
  readonly begun: number[] = [];
  readonly spells: LoopSpell[] = [];
  readonly monitor = new LoopMonitor(INTERVAL, {
    delayed: () => undefined,
    fellBehind: (delay) => this.begun.push(delay),
    caughtUp: (spell) => this.spells.push(spell),
  });

  tickAfter(time: number, count = 1): void {
    for (let tick = 0; tick < count; tick += 1) {
      this.now += time;
      this.monitor.noteTick(this.now);
    }
  }
}

describe('the loop monitor', () => {
  it('knows how long input may have waited unread, within a turn that lasts and after it', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    expect(loop.monitor.unreadFor(loop.now + 15)).toEqual(0);
    expect(loop.monitor.unreadFor(loop.now + 320)).toEqual(300);
    loop.tickAfter(620);
    expect(loop.monitor.unreadFor(loop.now + 5)).toEqual(600);
    loop.tickAfter(INTERVAL);
    expect(loop.monitor.unreadFor(loop.now + 5)).toEqual(0);
  });

  it('says once that the loop is behind and once that it is on time, with what its time went into', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    loop.monitor.noteEvent('attemptEnded', 40);
    loop.tickAfter(INTERVAL + 150);
    loop.monitor.noteEvent('requestArrived', 300);
    loop.tickAfter(INTERVAL + 400, 3);
    loop.monitor.noteEvent('attemptEnded', 30);
    loop.tickAfter(INTERVAL, 60);
    expect(loop.begun).toEqual([150]);
    expect(loop.spells).toEqual([
      { longest: 400, lasted: 1_410, busiest: { requestArrived: 300, attemptEnded: 30 } },
    ]);
  });

  // A request was taken for fresh that had come while the machine was suspended, on a clock that stood still.
  it('is not on time after a suspension until the sockets have been polled', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    expect(loop.monitor.isOnTime(loop.now)).toEqual(true);
    loop.monitor.noteSuspension(800);
    loop.tickAfter(INTERVAL);
    expect(loop.monitor.isOnTime(loop.now)).toEqual(false);
    expect(loop.monitor.unreadFor(loop.now)).toEqual(800);
    loop.tickAfter(INTERVAL);
    expect(loop.monitor.isOnTime(loop.now)).toEqual(true);
  });

  it('says nothing of delays that are short', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL + 60, 100);
    expect(loop.begun).toEqual([]);
    expect(loop.spells).toEqual([]);
  });
});
