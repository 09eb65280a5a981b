import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation, type SimulatedDaemon } from '../support/router-simulation.js';

const DAEMONS = 60;

function createSettledSimulation(seed: number): RouterSimulation {
  const simulation = new RouterSimulation(seed, DAEMONS, 8);
  simulation.clock.runUntil(8_000);
  return simulation;
}

function leaderOf(simulation: RouterSimulation): SimulatedDaemon {
  const leader = simulation.leader();
  if (leader === undefined) {
    throw new Error('no daemon is the leader');
  }
  return leader;
}

/** Returns the running daemons that have no recent heartbeat of the leader or differ from it in servers, configuration or term. */
function daemonsBehind(simulation: RouterSimulation): string[] {
  const leader = leaderOf(simulation);
  return simulation.daemons
    .filter(({ alive, state }) => {
      const hasHeartbeat =
        state === leader.state || simulation.clock.now - state.election.lastHeartbeatAt < 1_500;
      const isUpToDate =
        state.servers.size === leader.state.servers.size &&
        state.configuration?.version === leader.state.configuration?.version &&
        state.ownershipView.term === leader.state.ownershipView.term;
      return alive && !(hasHeartbeat && isUpToDate);
    })
    .map(({ name }) => name);
}

function relaysOf(simulation: RouterSimulation): SimulatedDaemon[] {
  const leader = leaderOf(simulation);
  return simulation.daemons.filter((daemon) => daemon !== leader && daemon.state.tree.children.size > 0);
}

describe('the propagation tree', () => {
  it('gives the leader few children, and brings all daemons up to date', () => {
    const simulation = createSettledSimulation(1);
    expect(leaderOf(simulation).state.tree.children.size <= 16).toEqual(true);
    expect(relaysOf(simulation).length > 3).toEqual(true);
    expect(daemonsBehind(simulation)).toEqual([]);
    expect(leaderOf(simulation).state.daemons).toEqual(DAEMONS);
  });

  it('needs three daemons that watch the store, for any number of daemons', () => {
    const simulation = createSettledSimulation(2);
    const followers = simulation.daemons.filter(({ state }) => state.followsStore);
    expect(followers.length).toEqual(3);
    expect(simulation.serverEntries.listCalls <= 6).toEqual(true);
  });

  it('propagates to all daemons within half a second that a server is draining', () => {
    const simulation = createSettledSimulation(3);
    const [server] = simulation.servers;
    simulation.drain(server?.id ?? '');
    simulation.clock.runUntil(simulation.clock.now + 500);
    const draining = simulation.daemons.map(
      ({ state }) => state.servers.get(server?.id ?? '')?.server.draining,
    );
    expect(draining.every((value) => value === true)).toEqual(true);
  });

  it('reconnects the children of a lost relay to the leader', () => {
    const simulation = createSettledSimulation(4);
    const [relay] = relaysOf(simulation);
    if (relay !== undefined) {
      relay.alive = false;
    }
    simulation.clock.runUntil(simulation.clock.now + 1_500);
    expect(daemonsBehind(simulation)).toEqual([]);
  });

  it('keeps the subtrees of relays together when the leader is lost, with few reads of the store', () => {
    const simulation = createSettledSimulation(5);
    const former = leaderOf(simulation);
    const readsBefore = simulation.store.readCount;
    former.alive = false;
    simulation.clock.runUntil(simulation.clock.now + 5_000);
    expect(leaderOf(simulation) === former).toEqual(false);
    expect(daemonsBehind(simulation)).toEqual([]);
    expect(simulation.store.readCount - readsBefore < 4 * DAEMONS).toEqual(true);
    expect(simulation.checker.violations).toEqual([]);
  });

  // Guards against daemons that never find the next leader after the store rejects the former leader and a third of the others.
  it('brings daemons whose store requests are rejected, a former leader among them, to the next leader', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const simulation = createSettledSimulation(seed);
      const former = leaderOf(simulation);
      const others = simulation.daemons.filter((daemon) => daemon !== former);
      [former, ...others.slice(0, DAEMONS / 3)].forEach((daemon) => {
        daemon.storeReachable = false;
      });
      simulation.clock.runUntil(simulation.clock.now + 7_000);
      simulation.addServer('10.0.3.1:80');
      simulation.clock.runUntil(simulation.clock.now + 1_000);
      expect(leaderOf(simulation) === former).toEqual(false);
      expect(daemonsBehind(simulation)).toEqual([]);
      expect(simulation.checker.violations).toEqual([]);
    }
  });

  it('forms again after all daemons are lost and restarted', () => {
    const simulation = createSettledSimulation(6);
    simulation.daemons.forEach((daemon) => {
      daemon.alive = false;
    });
    simulation.clock.runUntil(simulation.clock.now + 1_000);
    simulation.daemons.forEach((daemon) => simulation.startDaemon(daemon));
    simulation.clock.runUntil(simulation.clock.now + 4_000);
    expect(daemonsBehind(simulation)).toEqual([]);
    expect(simulation.unservedKeys()).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
  });
});
