/**
 * Guards against callers who are not served because the daemon that they are connected to has lost its path to the servers, and against
 * a daemon that takes its own failed calls for the state of the servers.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { RouterSimulation } from '../support/router-simulation.js';
import {
  breakPathsGradually,
  createDeployment,
  daemonsInOrder,
  keyedServers,
  leaderOf,
  longestUnheldTimeUntil,
  SETTLED,
} from '../support/settled-deployment.js';
import { CHECKED_KEYS, type PathFault, type SimulatedServer } from '../support/simulated-server.js';

const CUT_LENGTH = 12_000;
/** Daemons that are connected know within this time what the others have observed. */
const CONTACT = 3_000;
/** Time after which everything is as before once a cut has ended. */
const RECOVERY = 4_000;
/** Servers get out of reach one after the other within this time. */
const SPREAD = 1_000;
const MIN_SERVED = 0.97;
/** A planned move leaves a key without an owner while the requests for it end, in milliseconds. */
const LONGEST_MOVE = 400;
const FAULTS: readonly (readonly [PathFault, string])[] = [
  ['silent', 'are served by way of other daemons when all connections hang'],
  ['reset', 'are served by way of other daemons when open connections are reset and new ones hang'],
  ['refused', 'are served by way of other daemons when new connections are refused'],
  ['onlyOpenConnections', 'are served by way of other daemons when only open connections work'],
];
const FAULTS_THAT_RESET: readonly (readonly [PathFault, string])[] = [
  ['reset', 'reports no crash when its connections are reset and new ones hang'],
  ['refused', 'reports no crash when its connections are reset and new ones are refused'],
];

function owningServers(simulation: RouterSimulation): number {
  return keyedServers(simulation).filter((server) => CHECKED_KEYS.some((key) => server.holds(key))).length;
}

describe('callers of daemons that have lost their paths to all servers', () => {
  for (const [fault, title] of FAULTS) {
    it(title, () => {
      const deployment = createDeployment(1);
      const { simulation, traffic, requests } = deployment;
      const cut = daemonsInOrder(simulation, false).slice(0, 7);
      traffic.breakPaths(cut, simulation.servers, fault);
      simulation.clock.runUntil(SETTLED + CUT_LENGTH);
      const until = SETTLED + CUT_LENGTH - 1_000;
      expect(requests.servedShare(cut, SETTLED + CONTACT, until) >= MIN_SERVED).toEqual(true);
      const others = simulation.daemons.filter((daemon) => !cut.includes(daemon));
      expect(requests.servedShare(others, SETTLED, until) >= MIN_SERVED).toEqual(true);
      expect(simulation.checker.violations).toEqual([]);
    });
  }
});

describe('a leader that has lost its paths to servers', () => {
  // Moved the keys of each server in turn to servers that it could not reach either, and went on leading.
  it('hands over before leases expire, when servers get out of its reach one after the other', () => {
    for (const seed of [1, 2]) {
      const deployment = createDeployment(seed);
      const { simulation } = deployment;
      const former = leaderOf(simulation);
      breakPathsGradually(
        deployment,
        daemonsInOrder(simulation, true).slice(0, 7),
        simulation.servers,
        'silent',
        SPREAD,
      );
      expect(longestUnheldTimeUntil(simulation, SETTLED + CUT_LENGTH) <= LONGEST_MOVE).toEqual(true);
      expect(leaderOf(simulation) === former).toEqual(false);
      expect(simulation.checker.violations).toEqual([]);
    }
  });

  // After the cut the leader probed only servers with units, so that one server owned all keys.
  it('uses all servers again soon after the cut, when no other daemon could take over', () => {
    const deployment = createDeployment(3);
    const { simulation } = deployment;
    const before = owningServers(simulation);
    const servers = keyedServers(simulation);
    breakPathsGradually(deployment, simulation.daemons, servers, 'silent', SPREAD);
    simulation.clock.runUntil(SETTLED + CUT_LENGTH);
    deployment.traffic.restorePaths(simulation.daemons, servers);
    simulation.clock.runUntil(SETTLED + CUT_LENGTH + RECOVERY);
    expect(owningServers(simulation) >= before - 2).toEqual(true);
    const moving = simulation.unservedKeys();
    simulation.clock.runUntil(simulation.clock.now + LONGEST_MOVE);
    expect(simulation.unservedKeys().filter((key) => moving.includes(key))).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
  });

  // A server that was silent for a moment and lost its units was never asked again.
  it('finds a server again that was out of its reach for a moment', () => {
    const { simulation, traffic } = createDeployment(4);
    const leader = leaderOf(simulation);
    const [server] = keyedServers(simulation) as [SimulatedServer];
    server.reachable = false;
    simulation.clock.runUntil(SETTLED + 6_000);
    server.reachable = true;
    simulation.clock.runUntil(SETTLED + 6_000 + RECOVERY);
    expect(leader.state.leadership?.leases.get(server.id)?.unresponsive).toEqual(false);
    expect(traffic.crashes).toEqual([]);
  });
});

describe('a daemon that has lost its path to a server', () => {
  for (const [fault, title] of FAULTS_THAT_RESET) {
    // Its own failed probes made it report crashes to all daemons.
    it(title, () => {
      const { simulation, traffic } = createDeployment(5);
      traffic.breakPaths(daemonsInOrder(simulation, true).slice(0, 3), simulation.servers, fault);
      simulation.clock.runUntil(SETTLED + CUT_LENGTH);
      expect(simulation.events.filter((line) => line.includes(' server_crashed '))).toEqual([]);
    });
  }
});
