import { expect } from 'earl';
import { describe, it } from 'node:test';
import { ServiceTimeEstimator } from '../../../src/router/ownership/service-time-estimator.js';

const PERIOD = 500;
const SLOTS = 4;

/**
 * Evaluates periods of equal length in which a server gave the same number of answers, each after the given
 * duration.
 */
function serviceTimeAfter(periods: number, requests: number, duration: number): number {
  const estimator = new ServiceTimeEstimator(0);
  for (let period = 1; period <= periods; period += 1) {
    estimator.add({ requests, total: requests * duration });
    estimator.update(SLOTS, period * PERIOD);
  }
  return estimator.serviceTime ?? Number.NaN;
}

describe('the service time of a server', () => {
  it('is the duration of requests while the server is below capacity', () => {
    expect(Math.round(serviceTimeAfter(20, 10, 60))).toEqual(60);
  });

  // Guards against counting queueing as work: the owner of a hot key then appeared slow because of its queue,
  // and the key was moved from server to server.
  it('excludes queueing when the server is at capacity', () => {
    // 4 slots at 50 ms per request give 40 answers in half a second, however long the requests waited.
    expect(Math.round(serviceTimeAfter(20, 40, 400))).toEqual(50);
  });

  // Guards against an estimate that does not change when a server with a queue becomes slow.
  it('rises when a server with a queue has become slow', () => {
    const estimator = new ServiceTimeEstimator(0);
    estimator.add({ requests: 40, total: 40 * 50 });
    estimator.update(SLOTS, PERIOD);
    for (let period = 2; period <= 8; period += 1) {
      estimator.add({ requests: 8, total: 8 * 900 });
      estimator.update(SLOTS, period * PERIOD);
    }
    expect((estimator.serviceTime ?? 0) > 150).toEqual(true);
  });

  it('rises when a server has become slow and never answers its requests', () => {
    const estimator = new ServiceTimeEstimator(0);
    estimator.add({ requests: 40, total: 40 * 50 });
    estimator.update(SLOTS, PERIOD);
    for (let period = 2; period <= 4; period += 1) {
      estimator.add({ requests: 0, total: 20 * 450 });
      estimator.update(SLOTS, period * PERIOD);
    }
    expect((estimator.serviceTime ?? 0) > 500).toEqual(true);
  });

  it('is unknown until there are enough answers', () => {
    expect(Number.isNaN(serviceTimeAfter(1, 1, 60))).toEqual(true);
  });
});
