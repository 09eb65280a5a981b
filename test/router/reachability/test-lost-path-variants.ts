/** Lost paths beside other events: a zone, releases, changes, cuts that overlap, paths that come and go; and what is no lost path. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { CONFIGURATION } from '../support/request-traffic.js';
import type { RouterSimulation } from '../support/router-simulation.js';
import {
  breakPathsGradually,
  createDeployment,
  daemonsInOrder,
  keyedServers,
  leaderOf,
  SETTLED,
} from '../support/settled-deployment.js';
import type { PathFault } from '../support/simulated-server.js';

const CUT_LENGTH = 10_000;
/** Daemons that are connected know within this time what the others have observed. */
const CONTACT = 3_000;
const MIN_SERVED = 0.95;
const FIRST_REQUESTS = 1_500;
/** Time in milliseconds within which a path is found lost, shorter than the time for which callers wait (800 ms). */
const DETECTION = 600;
const ZONES = ['z0', 'z1', 'z2', 'z3'];
/** Time in milliseconds between two requests of one route at all daemons together. */
const REQUEST_INTERVAL = 6;
const FAULTS: readonly PathFault[] = ['silent', 'reset', 'refused', 'onlyOpenConnections'];
/** A path that comes and goes in this interval, in milliseconds. */
const FLAP_INTERVAL = 900;

/** Returns the units of the leader's table, without the former owners that are removed once they have released their units. */
function assignments(simulation: RouterSimulation): object[] {
  const units = leaderOf(simulation).state.leadership?.table.units ?? [];
  return units.map(({ service, from, to, owner, fence }) => ({ service, from, to, owner, fence }));
}

function countEvents({ events }: RouterSimulation, name: string, from = SETTLED): number {
  return events.filter((line) => {
    const [at, , event] = line.split(' ');
    return Number(at) >= from && event === name;
  }).length;
}

describe('requests at daemons without a path', () => {
  it('are served when the daemons of a whole zone are cut off', () => {
    const deployment = createDeployment(11, { zones: ['z0', 'z1', 'z2'] });
    const { simulation, traffic, requests } = deployment;
    const cut = simulation.daemons.filter(({ state }) => state.identity.zone === 'z1');
    traffic.breakPaths(cut, simulation.servers, 'silent');
    simulation.clock.runUntil(SETTLED + CUT_LENGTH);
    const share = requests.servedShare(cut, SETTLED + CONTACT, SETTLED + CUT_LENGTH - 1_000);
    expect(share >= MIN_SERVED).toEqual(true);
  });

  it('are served when the daemons below relays of a whole zone are cut off', () => {
    const deployment = createDeployment(12, { daemons: 40, zones: ['z0', 'z1', 'z2'], interval: 220 });
    const { simulation, traffic, requests } = deployment;
    expect(simulation.daemons.some(({ state }) => state.tree.wasRedirected)).toEqual(true);
    const cut = simulation.daemons.filter(({ state }) => state.identity.zone === 'z1');
    traffic.breakPaths(cut, simulation.servers, 'reset');
    simulation.clock.runUntil(SETTLED + CUT_LENGTH);
    const share = requests.servedShare(cut, SETTLED + CONTACT, SETTLED + CUT_LENGTH - 1_000);
    expect(share >= MIN_SERVED).toEqual(true);
  });

  for (const [index, fault] of FAULTS.entries()) {
    it(`are served during a release, a change and a second cut, the leader first (fault ${index + 1} of 4)`, () => {
      const deployment = createDeployment(20 + index);
      const { simulation, traffic, requests } = deployment;
      const daemons = daemonsInOrder(simulation, true);
      const [first, second] = [daemons.slice(0, 4), daemons.slice(4, 7)];
      breakPathsGradually(deployment, first, simulation.servers, fault, 300);
      simulation.clock.schedule(2_000, () => traffic.breakPaths(second, simulation.servers, fault));
      const [leaving] = keyedServers(simulation);
      simulation.clock.schedule(3_000, () => simulation.addServer('10.0.1.99:80'));
      simulation.clock.schedule(3_200, () => simulation.drain(leaving?.id ?? ''));
      simulation.clock.schedule(4_000, () => simulation.configure({ ...CONFIGURATION, version: 9 }));
      simulation.clock.schedule(7_000, () => traffic.restorePaths(first, simulation.servers));
      simulation.clock.runUntil(SETTLED + CUT_LENGTH);
      const share = requests.servedShare(
        [...first, ...second],
        SETTLED + 2_000 + CONTACT,
        SETTLED + CUT_LENGTH - 1_000,
      );
      expect([fault, share >= MIN_SERVED]).toEqual([fault, true]);
      expect(simulation.checker.violations).toEqual([]);
    });
  }

  it('are refused at once when no daemon has a path, and nothing moves', () => {
    const { simulation, traffic } = createDeployment(13);
    traffic.breakPaths(simulation.daemons, simulation.servers, 'silent');
    simulation.clock.runUntil(SETTLED + CONTACT);
    const before = assignments(simulation);
    traffic.responseTimes.length = 0;
    simulation.clock.runUntil(SETTLED + CUT_LENGTH);
    const waits = traffic.responseTimes.filter(({ status }) => status === 503).map(({ waited }) => waited);
    expect(waits.length > 100).toEqual(true);
    expect(Math.max(...waits) < 50).toEqual(true);
    expect(assignments(simulation)).toEqual(before);
    expect(countEvents(simulation, 'leadership_won')).toEqual(0);
  });
});

describe('a path that comes and goes', () => {
  it('moves the lead once, and not back', () => {
    const { simulation, traffic } = createDeployment(14);
    const leader = leaderOf(simulation);
    for (let at = 0; at < CUT_LENGTH; at += 2 * FLAP_INTERVAL) {
      simulation.clock.schedule(at, () => traffic.breakPaths([leader], simulation.servers, 'refused'));
      simulation.clock.schedule(at + FLAP_INTERVAL, () => traffic.restorePaths([leader], simulation.servers));
    }
    simulation.clock.runUntil(SETTLED + CUT_LENGTH);
    expect(countEvents(simulation, 'leadership_won')).toEqual(1);
    expect(simulation.checker.violations).toEqual([]);
  });
});

describe('the first requests at daemons without a path, in a large deployment', () => {
  for (const [fault, cutShare] of [
    ['silent', 0.1],
    ['silent', 0.6],
    ['reset', 0.6],
  ] as const) {
    // A daemon waited for a second overdue request before it checked its path, which takes long where requests are few.
    it(`are served from ${DETECTION} ms on (${fault}, ${cutShare} of 87 daemons)`, () => {
      const options = { daemons: 87, zones: ZONES, interval: REQUEST_INTERVAL * 87 };
      const { simulation, traffic, requests } = createDeployment(21, options);
      const cut = daemonsInOrder(simulation, false).slice(0, Math.round(87 * cutShare));
      traffic.breakPaths(cut, simulation.servers, fault);
      simulation.clock.runUntil(SETTLED + FIRST_REQUESTS + CONTACT);
      const share = requests.servedShare(cut, SETTLED, SETTLED + FIRST_REQUESTS);
      expect(share >= 1 - DETECTION / FIRST_REQUESTS).toEqual(true);
    });
  }
});

describe('a leader without a path, in a large deployment', () => {
  for (const [daemons, seed] of [
    [87, 51],
    [150, 52],
    [150, 53],
  ] as const) {
    // Daemons with few requests did not know yet that they had lost their paths as well, and two led one after the other.
    it(`hands over once, to a daemon that reaches the servers, at ${daemons} daemons (seed ${seed})`, () => {
      const deployment = createDeployment(seed, {
        daemons,
        zones: ZONES,
        interval: REQUEST_INTERVAL * daemons,
      });
      const { simulation, traffic } = deployment;
      const cut = daemonsInOrder(simulation, true).filter((_, index) => index % 2 === 0);
      traffic.breakPaths(cut, simulation.servers, 'reset');
      simulation.clock.runUntil(SETTLED + CONTACT);
      expect(countEvents(simulation, 'leadership_won')).toEqual(1);
      expect(cut.includes(leaderOf(simulation))).toEqual(false);
    });
  }
});

describe('a path is not lost', () => {
  it('when servers are slow', () => {
    const { simulation, traffic } = createDeployment(15);
    traffic.slowdown = 8;
    simulation.clock.runUntil(SETTLED + CUT_LENGTH);
    expect(countEvents(simulation, 'path_lost')).toEqual(0);
    expect(countEvents(simulation, 'leadership_won')).toEqual(0);
  });

  it('when one server has crashed, which is found out as before', () => {
    const { simulation, traffic } = createDeployment(16);
    const [server] = keyedServers(simulation);
    if (server !== undefined) {
      traffic.crash(server, false);
    }
    simulation.clock.runUntil(SETTLED + 2_000);
    expect(countEvents(simulation, 'path_lost')).toEqual(0);
    expect(countEvents(simulation, 'server_silent')).toEqual(1);
    simulation.clock.runUntil(SETTLED + 5_000);
    expect(simulation.unservedKeys().length <= 3).toEqual(true);
  });
});

describe('a leader without a path whose resignation does not reach the store', () => {
  // Took its own record up again at once, which did not say so, and resigned again, sixty times in four seconds.
  it('does not lead again until its path is back or nobody else does', () => {
    const { simulation, traffic } = createDeployment(17);
    const leader = leaderOf(simulation);
    traffic.breakPaths([leader], simulation.servers, 'refused');
    while (leader.state.leadership !== null && simulation.clock.now < SETTLED + CONTACT) {
      leader.storeReachable = false;
      simulation.clock.runUntil(simulation.clock.now + 1);
    }
    expect(leader.state.leadership).toEqual(null);
    leader.storeReachable = true;
    const resignedAt = simulation.clock.now;
    simulation.clock.runUntil(resignedAt + CONTACT);
    expect(countEvents(simulation, 'leadership_lost')).toEqual(1);
    expect(countEvents(simulation, 'leadership_won')).toEqual(1);
    expect(leaderOf(simulation) === leader).toEqual(false);
  });
});
