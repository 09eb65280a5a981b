import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LoopMonitor, type LoopLagPeriod } from '../../src/router-runtime/loop-monitor.js';

const INTERVAL = 20;

/** A monitor whose ticks are driven by the test. */
class MonitoredLoop {
  now = 0;
  readonly reportedDelays: number[] = [];
  readonly periods: LoopLagPeriod[] = [];
  readonly monitor = new LoopMonitor(INTERVAL, {
    onTick: () => undefined,
    onFellBehind: (delay) => this.reportedDelays.push(delay),
    onCaughtUp: (period) => this.periods.push(period),
  });

  tickAfter(time: number, count = 1): void {
    for (let tick = 0; tick < count; tick += 1) {
      this.now += time;
      this.monitor.recordTick(this.now);
    }
  }
}

describe('the loop monitor', () => {
  it('reports how long data may have waited unread, during a long turn of the loop and after it', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    expect(loop.monitor.maxUnreadTime(loop.now + 15)).toEqual(0);
    expect(loop.monitor.maxUnreadTime(loop.now + 320)).toEqual(300);
    loop.tickAfter(620);
    expect(loop.monitor.maxUnreadTime(loop.now + 5)).toEqual(600);
    loop.tickAfter(INTERVAL);
    expect(loop.monitor.maxUnreadTime(loop.now + 5)).toEqual(0);
  });

  it('reports once that the loop is behind and once that it is on time, with the events that took most time', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    loop.monitor.recordEvent('attemptEnded', 40);
    loop.tickAfter(INTERVAL + 150);
    loop.monitor.recordEvent('requestArrived', 300);
    loop.tickAfter(INTERVAL + 400, 3);
    loop.monitor.recordEvent('attemptEnded', 30);
    loop.tickAfter(INTERVAL, 60);
    expect(loop.reportedDelays).toEqual([150]);
    expect(loop.periods).toEqual([
      { longest: 400, lasted: 1_410, busiest: { requestArrived: 300, attemptEnded: 30 } },
    ]);
  });

  // A check of a path during which the loop was late at its middle only would count as proof of a lost path.
  it('remembers the longest delay since a time', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    const startedAt = loop.now;
    loop.tickAfter(INTERVAL + 90);
    loop.tickAfter(INTERVAL, 5);
    const endedAt = loop.now;
    expect(loop.monitor.longestDelaySince(startedAt, endedAt)).toEqual(90);
    loop.tickAfter(INTERVAL, 5);
    expect(loop.monitor.longestDelaySince(endedAt, loop.now)).toEqual(0);
    expect(loop.monitor.longestDelaySince(endedAt, loop.now + INTERVAL + 60)).toEqual(60);
  });

  // A request that arrived while the machine was suspended would count as recent on a clock that stops during a suspension.
  it('is not on time after a suspension until the sockets have been polled', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL, 2);
    expect(loop.monitor.isOnTime(loop.now)).toEqual(true);
    loop.monitor.recordSuspension(800);
    loop.tickAfter(INTERVAL);
    expect(loop.monitor.isOnTime(loop.now)).toEqual(false);
    expect(loop.monitor.maxUnreadTime(loop.now)).toEqual(800);
    loop.tickAfter(INTERVAL);
    expect(loop.monitor.isOnTime(loop.now)).toEqual(true);
  });

  it('does not report short delays', () => {
    const loop = new MonitoredLoop();
    loop.tickAfter(INTERVAL + 60, 100);
    expect(loop.reportedDelays).toEqual([]);
    expect(loop.periods).toEqual([]);
  });
});
