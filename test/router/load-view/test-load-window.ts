import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  countsOf,
  type CountsByService,
  demandOf,
  groupOf,
} from '../../../src/router/load-view/load-counts.js';
import { LoadWindow } from '../../../src/router/load-view/load-window.js';

function counted(requests: number, service = 'logs'): CountsByService {
  const counts: CountsByService = new Map();
  demandOf(countsOf(counts, service), 0).requests = requests;
  groupOf(countsOf(counts, service), false).readings = requests;
  return counts;
}

function requestsIn(window: LoadWindow, length?: number): number | undefined {
  return window.recent('logs', length).counts.demands.get(0)?.requests;
}

describe('the window of counts', () => {
  // Guards against counting a regular report and an early one after it as the same time.
  it('counts a part of the oldest report, so that the counts cover its length', () => {
    const window = new LoadWindow(500);
    window.add(counted(50), 500);
    window.add(counted(30), 150);
    expect(requestsIn(window)).toEqual(30 + (50 * 350) / 500);
    expect(window.recent('logs').span).toEqual(500);
  });

  // Guards against demand that stays after the requests have ended.
  it('forgets what is older than its length', () => {
    const window = new LoadWindow(500);
    window.add(counted(50), 500);
    window.add(new Map(), 250);
    window.add(new Map(), 250);
    expect(requestsIn(window)).toEqual(undefined);
    expect([...window.services()]).toEqual([]);
  });

  // Guards against a rate that is too low because a daemon has just started to report.
  it('says how much time it covers while that is less than its length', () => {
    const window = new LoadWindow(500);
    window.add(counted(4), 100);
    expect(window.recent('logs').span).toEqual(100);
    expect(requestsIn(window)).toEqual(4);
  });

  it('returns the counts of a shorter time', () => {
    const window = new LoadWindow(500);
    window.add(counted(10), 100);
    window.add(counted(20), 100);
    expect(requestsIn(window, 150)).toEqual(25);
  });

  // Guards against a division by zero when a daemon reports twice at one time.
  it('accepts counts that cover no time', () => {
    const window = new LoadWindow(500);
    window.add(counted(2), 0);
    window.add(counted(3), 100);
    expect(requestsIn(window)).toEqual(5);
  });
});
