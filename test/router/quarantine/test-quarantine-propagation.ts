import { expect } from 'earl';
import { describe, it } from 'node:test';
import { QUARANTINE_REASON } from '../../../src/router/quarantine/quarantine.js';
import { RequestTraffic, PLAIN } from '../support/request-traffic.js';
import { type Daemon, RouterWorld } from '../support/router-world.js';
import { SingleDaemon } from '../support/single-daemon.js';
import { fingerprintOf } from '../support/fingerprints.js';

const SETTLING_TIME = 6_000;
const CRASH_INTERVAL = 4_000;
const REQUEST = { name: 'deadly', route: PLAIN, key: 7 };
/** Updates reach all daemons within this time, in ms, while the leader stays the same. */
const PROPAGATION_TIME = 100;

/** Returns a simulation in which three servers have crashed under a request, each sent by another daemon. */
function simulateThreeCrashes(): { world: RouterWorld; traffic: RequestTraffic } {
  const world = new RouterWorld(5, 6, 6);
  const traffic = new RequestTraffic(world, 8);
  traffic.deadly.add(REQUEST.name);
  world.clock.runUntil(SETTLING_TIME);
  for (const daemon of world.daemons.slice(0, 3)) {
    traffic.ask(daemon, REQUEST);
    world.clock.runUntil(world.clock.now + CRASH_INTERVAL);
  }
  return { world, traffic };
}

function daemonsWithQuarantine(world: RouterWorld): Daemon[] {
  return world.daemons.filter(({ state }) => state.crashes.isQuarantined(fingerprintOf(REQUEST.name)));
}

describe('a quarantine', () => {
  it('is known to every daemon, and refuses a request at once, with its reason and without sending it', () => {
    const { world, traffic } = simulateThreeCrashes();
    expect(daemonsWithQuarantine(world)).toEqual(world.daemons);
    const before = traffic.sends.length;
    traffic.ask(world.daemons[5] as Daemon, REQUEST);
    const [told] = traffic.told.slice(-1);
    expect(told).toEqual({ name: 'deadly', status: 503, reason: QUARANTINE_REASON, at: world.clock.now });
    expect(traffic.sends.length).toEqual(before);
  });

  it('is lifted by an operator on every daemon, and in the store', () => {
    const { world, traffic } = simulateThreeCrashes();
    traffic.deadly.clear();
    const fingerprint = fingerprintOf(REQUEST.name).value;
    world.deliver(world.daemons[2] as Daemon, { kind: 'quarantineLifted', fingerprint });
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
    const daemon = world.daemons.find(({ state }) => state.leadership === null) as Daemon;
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
    daemon.arrive(1, '/read/1');
    daemon.arrive(2, '/rack/1', 900, 7);
    daemon.arrive(3, '/read/2');
    expect(daemon.state.requests.size).toEqual(3);
    const ended = ['a', 'b', 'c'].map((server) => ({ server, age: 0 }));
    const otherFields = { ended, exonerated: [], quarantined: true, retested: false };
    const records = ['/read/1', '/rack/1'].map((name) => ({
      fingerprint: fingerprintOf(name).value,
      ...otherFields,
    }));
    daemon.event({ kind: 'peerMessage', link: 1, message: { kind: 'crashNews', records } });
    expect([...daemon.state.requests.keys()]).toEqual([3]);
    expect(daemon.only('cancel').map(({ requestId }) => requestId)).toEqual([1]);
    const answers = daemon
      .only('answer')
      .map(({ requestId, status, retryAfter }) => [requestId, status, retryAfter]);
    // The copy at a server may have run; the waiting copy has not.
    expect(answers).toEqual([
      [1, 502, null],
      [2, 503, null],
    ]);
  });
});
