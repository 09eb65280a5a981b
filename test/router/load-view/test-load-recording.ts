import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { AttemptResult } from '../../../src/router/events.js';
import { loadViewOf } from '../../../src/router/load-view/load-view-of.js';
import { SingleDaemon } from '../support/single-daemon.js';

const BUSY = { running: 2, waiting: 1, slots: 2, slowdown: null };
const IDLE = { running: 0, waiting: 0, slots: 2, slowdown: null };

let daemon: SingleDaemon;
let nextRequest = 1;

function request(duration: number, load: typeof IDLE | null, target = '/read/1'): void {
  const id = nextRequest;
  nextRequest += 1;
  daemon.receiveRequest(id, target);
  daemon.now += duration;
  const result: AttemptResult = { kind: 'answered', status: 200, load };
  daemon.ended(id, 1, result);
}

describe('the counts of one daemon', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
  });

  // Guards against messages for services whose servers do not report their load.
  it('has none for a service whose servers do not report their load', () => {
    request(50, null);
    daemon.tickUntil(daemon.now + 200);
    expect(loadViewOf(daemon.state, 'logs', daemon.now).priorities).toEqual([]);
    expect(daemon.state.loadView.unreported.size).toEqual(0);
  });

  it('has the arrivals, the work time and the load reports, multiplied by the number of daemons', () => {
    request(50, IDLE);
    for (let index = 0; index < 10; index += 1) {
      request(50, IDLE);
    }
    daemon.tickUntil(daemon.now + 60);
    const view = loadViewOf(daemon.state, 'logs', daemon.now);
    expect(view.source).toEqual('own');
    expect(view.priorities).toEqual([1]);
    // One request after the other keeps one slot busy at each of the daemons.
    expect(view.demandSlots(1) > 0.8 * daemon.state.daemons).toEqual(true);
    expect(view.demandSlots(1) < 1.2 * daemon.state.daemons).toEqual(true);
    expect(view.meanLoad(false)).toEqual(0);
    expect(view.meanLoad(true)).toEqual(null);
  });

  // Guards against a work time that includes the wait for a slot, so that demand rises with the load.
  it('does not count the time of a request that waited as work time', () => {
    request(50, IDLE);
    request(50, IDLE);
    request(400, BUSY);
    expect(daemon.state.loadView.workTimes.meanOf('logs', 1)).toEqual(50);
  });

  it('counts reserved servers as a group of their own', () => {
    daemon.state.servers.forEach(({ load }) => (load.isReserved = true));
    request(50, BUSY);
    daemon.tickUntil(daemon.now + 60);
    const view = loadViewOf(daemon.state, 'logs', daemon.now);
    expect([view.meanLoad(true), view.meanLoad(false)]).toEqual([3, null]);
  });

  it('forgets its demand two seconds after the last request', () => {
    request(50, IDLE);
    request(50, IDLE);
    daemon.tickUntil(daemon.now + 2_200);
    expect(loadViewOf(daemon.state, 'logs', daemon.now).priorities).toEqual([]);
  });
});
