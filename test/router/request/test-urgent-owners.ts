import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { Configuration, Route } from '../../../src/router/model/configuration.js';
import { CONFIGURATION, SingleDaemon } from '../support/single-daemon.js';

const RACK = CONFIGURATION.routes[2] as Route;
/** A more urgent and a less urgent route to the keyed service. */
const TWO_ROUTES: Configuration = {
  ...CONFIGURATION,
  version: 2,
  routes: [
    { ...RACK, name: 'urgent', pathPrefix: '/urgent/', priority: 0, latencyObjective: 120 },
    { ...RACK, name: 'slow', pathPrefix: '/slow/', priority: 2, latencyObjective: 900 },
  ],
};
/** Requests at the owner of other daemons. */
const BUSY = { running: 2, waiting: 3, slots: 2, slowdown: null };
const KEY = 7;

function createDaemon(): SingleDaemon {
  const daemon = new SingleDaemon();
  daemon.event({ kind: 'configuration', configuration: TWO_ROUTES, revision: 2 });
  daemon.own('s8');
  return daemon;
}

/** Returns whether a request is sent at once to an owner with a queue. */
function isSent(daemon: SingleDaemon, requestId: number, target: string): boolean {
  daemon.state.servers.get('s8')?.load.report(BUSY, daemon.now);
  daemon.receiveRequest(requestId, target, 900, KEY);
  return daemon.effectsOfKind('forward').some((effect) => effect.requestId === requestId);
}

// A less urgent request is queued at the owner ahead of the urgent ones for the same keys, which have no other server.
describe('an owner of keys with a queue', () => {
  it('gets less urgent requests while no more urgent route has demand', () => {
    expect(isSent(createDaemon(), 1, '/slow/1')).toEqual(true);
  });

  it('gets none that would make a more urgent route with demand late', () => {
    const daemon = createDaemon();
    daemon.receiveRequest(1, '/urgent/1', 900, KEY);
    daemon.now += 60;
    daemon.ended(1, 1, { kind: 'answered', status: 200, load: null });
    expect(isSent(daemon, 2, '/slow/2')).toEqual(false);
  });

  it('gets them again once the more urgent route has had no demand for some seconds', () => {
    const daemon = createDaemon();
    daemon.receiveRequest(1, '/urgent/1', 900, KEY);
    daemon.now += 60;
    daemon.ended(1, 1, { kind: 'answered', status: 200, load: null });
    daemon.tickUntil(daemon.now + 3_000);
    expect(isSent(daemon, 2, '/slow/2')).toEqual(true);
  });
});
