import { expect } from 'earl';
import { describe, it } from 'node:test';
import { QUARANTINE_REASON } from '../../../src/router/quarantine/quarantine.js';
import { RequestTraffic, BALANCED_SERVICE } from '../support/request-traffic.js';
import { type SimulatedDaemon, RouterSimulation } from '../support/router-simulation.js';
import { SingleDaemon } from '../support/single-daemon.js';
import { fingerprintOf } from '../support/fingerprints.js';

const SETTLING_TIME = 6_000;
const CRASH_INTERVAL = 4_000;
const REQUEST = { name: 'deadly', route: BALANCED_SERVICE, key: 7 };
/** Updates reach all daemons within this time, in ms, while the leader stays the same. */
const PROPAGATION_TIME = 100;

/** Returns a simulation in which three servers have crashed under a request, each sent by another daemon. */
function simulateThreeCrashes(): { world: RouterSimulation; traffic: RequestTraffic } {
  const world = new RouterSimulation(5, 6, 6);
  const traffic = new RequestTraffic(world, 8);
  traffic.crashingRequests.add(REQUEST.name);
  world.clock.runUntil(SETTLING_TIME);
  for (const daemon of world.daemons.slice(0, 3)) {
    traffic.sendRequest(daemon, REQUEST);
    world.clock.runUntil(world.clock.now + CRASH_INTERVAL);
  }
  return { world, traffic };
}

function daemonsWithQuarantine(world: RouterSimulation): SimulatedDaemon[] {
  return world.daemons.filter(({ state }) => state.crashTable.isQuarantined(fingerprintOf(REQUEST.name)));
}

describe('a quarantine', () => {
  it('is known to every daemon, and refuses a request at once, with its reason and without sending it', () => {
    const { world, traffic } = simulateThreeCrashes();
    expect(daemonsWithQuarantine(world)).toEqual(world.daemons);
    const before = traffic.deliveries.length;
    traffic.sendRequest(world.daemons[5] as SimulatedDaemon, REQUEST);
    const [told] = traffic.responses.slice(-1);
    expect(told).toEqual({ name: 'deadly', status: 503, reason: QUARANTINE_REASON, at: world.clock.now });
    expect(traffic.deliveries.length).toEqual(before);
  });

  it('is lifted by an operator on every daemon, and in the store', () => {
    const { world, traffic } = simulateThreeCrashes();
    traffic.crashingRequests.clear();
    const fingerprint = fingerprintOf(REQUEST.name).value;
    world.deliver(world.daemons[2] as SimulatedDaemon, { kind: 'quarantineLifted', fingerprint });
    world.clock.runUntil(world.clock.now + PROPAGATION_TIME);
    expect(daemonsWithQuarantine(world)).toEqual([]);
    world.clock.runUntil(world.clock.now + 1_000);
    world.daemons.forEach((daemon) => (daemon.alive = false));
    world.daemons.forEach((daemon) => world.startDaemon(daemon));
    world.clock.runUntil(world.clock.now + 10_000);
    expect(daemonsWithQuarantine(world)).toEqual([]);
  });

  it('is learned by a daemon that restarts', () => {
    const { world } = simulateThreeCrashes();
    const daemon = world.daemons.find(({ state }) => state.leadership === null) as SimulatedDaemon;
    daemon.alive = false;
    world.clock.runUntil(world.clock.now + 500);
    world.startDaemon(daemon);
    world.clock.runUntil(world.clock.now + 1_000);
    expect(daemonsWithQuarantine(world)).toEqual(world.daemons);
  });
});

describe('copies of a request that becomes quarantined', () => {
  it('end at once, both in flight and waiting', () => {
    const daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/read/1');
    daemon.receiveRequest(2, '/rack/1', 900, 7);
    daemon.receiveRequest(3, '/read/2');
    expect(daemon.state.requests.size).toEqual(3);
    const ended = ['a', 'b', 'c'].map((server) => ({ server, age: 0 }));
    const otherFields = { ended, exonerated: [], quarantined: true, retested: false };
    const records = ['/read/1', '/rack/1'].map((name) => ({
      fingerprint: fingerprintOf(name).value,
      ...otherFields,
    }));
    daemon.event({ kind: 'peerMessage', link: 1, message: { kind: 'crashNews', records } });
    expect([...daemon.state.requests.keys()]).toEqual([3]);
    expect(daemon.effectsOfKind('cancel').map(({ requestId }) => requestId)).toEqual([1]);
    const answers = daemon
      .effectsOfKind('answer')
      .map(({ requestId, status, retryAfter }) => [requestId, status, retryAfter]);
    // The copy at a server may have run; the waiting copy has not.
    expect(answers).toEqual([
      [1, 502, null],
      [2, 503, null],
    ]);
  });
});
