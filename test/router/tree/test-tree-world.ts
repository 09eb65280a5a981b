import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation, type SimulatedDaemon } from '../support/router-simulation.js';

const DAEMONS = 60;

function createSettledSimulation(seed: number): RouterSimulation {
  const world = new RouterSimulation(seed, DAEMONS, 8);
  world.clock.runUntil(8_000);
  return world;
}

function leaderOf(world: RouterSimulation): SimulatedDaemon {
  const leader = world.leader();
  if (leader === undefined) {
    throw new Error('no daemon is the leader');
  }
  return leader;
}

/** Returns the running daemons that have no recent heartbeat of the leader or differ from it in servers, configuration or term. */
function daemonsBehind(world: RouterSimulation): string[] {
  const leader = leaderOf(world);
  return world.daemons
    .filter(({ alive, state }) => {
      const hasHeartbeat = state === leader.state || world.clock.now - state.election.lastHeartbeatAt < 1_500;
      const isUpToDate =
        state.servers.size === leader.state.servers.size &&
        state.configuration?.version === leader.state.configuration?.version &&
        state.ownershipView.term === leader.state.ownershipView.term;
      return alive && !(hasHeartbeat && isUpToDate);
    })
    .map(({ name }) => name);
}

function relaysOf(world: RouterSimulation): SimulatedDaemon[] {
  const leader = leaderOf(world);
  return world.daemons.filter((daemon) => daemon !== leader && daemon.state.tree.children.size > 0);
}

describe('the propagation tree', () => {
  it('gives the leader few children, and brings all daemons up to date', () => {
    const world = createSettledSimulation(1);
    expect(leaderOf(world).state.tree.children.size <= 16).toEqual(true);
    expect(relaysOf(world).length > 3).toEqual(true);
    expect(daemonsBehind(world)).toEqual([]);
    expect(leaderOf(world).state.daemons).toEqual(DAEMONS);
  });

  it('needs three daemons that watch the store, for any number of daemons', () => {
    const world = createSettledSimulation(2);
    const followers = world.daemons.filter(({ state }) => state.followsStore);
    expect(followers.length).toEqual(3);
    expect(world.serverEntries.listCalls <= 6).toEqual(true);
  });

  it('propagates to all daemons within half a second that a server is draining', () => {
    const world = createSettledSimulation(3);
    const [server] = world.servers;
    world.drain(server?.id ?? '');
    world.clock.runUntil(world.clock.now + 500);
    const draining = world.daemons.map(({ state }) => state.servers.get(server?.id ?? '')?.server.draining);
    expect(draining.every((value) => value === true)).toEqual(true);
  });

  it('reconnects the children of a lost relay to the leader', () => {
    const world = createSettledSimulation(4);
    const [relay] = relaysOf(world);
    if (relay !== undefined) {
      relay.alive = false;
    }
    world.clock.runUntil(world.clock.now + 1_500);
    expect(daemonsBehind(world)).toEqual([]);
  });

  it('keeps the subtrees of relays together when the leader is lost, with few reads of the store', () => {
    const world = createSettledSimulation(5);
    const former = leaderOf(world);
    const readsBefore = world.store.readCount;
    former.alive = false;
    world.clock.runUntil(world.clock.now + 5_000);
    expect(leaderOf(world) === former).toEqual(false);
    expect(daemonsBehind(world)).toEqual([]);
    expect(world.store.readCount - readsBefore < 4 * DAEMONS).toEqual(true);
    expect(world.checker.violations).toEqual([]);
  });

  // Guards against daemons that never find the next leader after the store rejects the former leader and a third of the others.
  it('brings daemons whose store requests are rejected, a former leader among them, to the next leader', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const world = createSettledSimulation(seed);
      const former = leaderOf(world);
      const others = world.daemons.filter((daemon) => daemon !== former);
      [former, ...others.slice(0, DAEMONS / 3)].forEach((daemon) => {
        daemon.storeReachable = false;
      });
      world.clock.runUntil(world.clock.now + 7_000);
      world.addServer('10.0.3.1:80');
      world.clock.runUntil(world.clock.now + 1_000);
      expect(leaderOf(world) === former).toEqual(false);
      expect(daemonsBehind(world)).toEqual([]);
      expect(world.checker.violations).toEqual([]);
    }
  });

  it('forms again after all daemons are lost and restarted', () => {
    const world = createSettledSimulation(6);
    world.daemons.forEach((daemon) => {
      daemon.alive = false;
    });
    world.clock.runUntil(world.clock.now + 1_000);
    world.daemons.forEach((daemon) => world.startDaemon(daemon));
    world.clock.runUntil(world.clock.now + 4_000);
    expect(daemonsBehind(world)).toEqual([]);
    expect(world.unservedKeys()).toEqual([]);
    expect(world.checker.violations).toEqual([]);
  });
});
