/*
 * A server's rate limit applies to all daemons together. The daemon that received the response propagates the limit along the tree to the
 * others, including those that have had no response from the server. A daemon that starts receives the limits from its parent.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { type SimulatedDaemon, RouterSimulation } from '../support/router-simulation.js';

const SETTLED_AT = 6_000;
/** Time in ms within which an update reaches all daemons under a stable leader. */
const PROPAGATION_TIME = 150;
const SERVER = 's2';

/** Delivers to a daemon a server's response that announces a limit, or none. */
function deliverResponse(world: RouterSimulation, daemon: SimulatedDaemon, reading: number | null): void {
  const now = daemon.clock.now();
  world.deliver(daemon, { kind: 'serverLimitRead', server: SERVER, reading, sentAt: now - 0.5 });
}

function follower(world: RouterSimulation): SimulatedDaemon {
  return world.daemons.find(({ state }) => state.leadership === null) as SimulatedDaemon;
}

function limits(world: RouterSimulation): (number | null)[] {
  return world.daemons.map(({ state }) => state.limits.of(SERVER));
}

/** Makes the server announce the same limit in its responses to control calls as the tests deliver to daemons. */
function announceLimit(world: RouterSimulation, rate: number | null): void {
  world.servers.filter(({ id }) => id === SERVER).forEach((server) => (server.limit = rate));
}

describe('the propagation of a limit', () => {
  it('reaches every daemon when the limit begins, changes and ends', () => {
    const world = new RouterSimulation(3, 6, 5);
    world.clock.runUntil(SETTLED_AT);
    for (const rate of [3, 1.5, 6, 0, null]) {
      announceLimit(world, rate);
      deliverResponse(world, follower(world), rate);
      world.clock.runUntil(world.clock.now + PROPAGATION_TIME);
      expect(limits(world)).toEqual(world.daemons.map(() => rate));
    }
  });

  it('reaches each of 40 daemons through relays', () => {
    const world = new RouterSimulation(4, 40, 5);
    world.clock.runUntil(SETTLED_AT);
    announceLimit(world, 3);
    deliverResponse(world, world.daemons.at(-1) as SimulatedDaemon, 3);
    world.clock.runUntil(SETTLED_AT + PROPAGATION_TIME);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
  });

  it('starts from the responses to the control calls of the leader if the server receives no requests', () => {
    const world = new RouterSimulation(5, 6, 5);
    world.clock.runUntil(SETTLED_AT);
    announceLimit(world, 3);
    world.clock.runUntil(SETTLED_AT + 1_000);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
    announceLimit(world, null);
    world.clock.runUntil(SETTLED_AT + 2_000);
    expect(limits(world)).toEqual(world.daemons.map(() => null));
  });

  it('works while the store is unreachable', () => {
    const world = new RouterSimulation(6, 6, 5);
    world.clock.runUntil(SETTLED_AT);
    world.daemons.forEach((daemon) => (daemon.storeReachable = false));
    world.clock.runUntil(SETTLED_AT + 2_000);
    announceLimit(world, 3);
    deliverResponse(world, follower(world), 3);
    world.clock.runUntil(SETTLED_AT + 2_000 + PROPAGATION_TIME);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
  });

  it('reaches a daemon that restarts', () => {
    const world = new RouterSimulation(7, 6, 5);
    world.clock.runUntil(SETTLED_AT);
    const daemon = follower(world);
    announceLimit(world, 3);
    daemon.alive = false;
    world.clock.runUntil(SETTLED_AT + 1_000);
    world.startDaemon(daemon);
    world.clock.runUntil(SETTLED_AT + 3_000);
    expect(daemon.state.limits.of(SERVER)).toEqual(3);
  });

  it('keeps the limit, when two daemons read different values, until a later request shows its end', () => {
    const world = new RouterSimulation(8, 6, 5);
    world.clock.runUntil(SETTLED_AT);
    const [first, second] = world.daemons as [SimulatedDaemon, SimulatedDaemon];
    announceLimit(world, 3);
    deliverResponse(world, first, 3);
    world.clock.runUntil(SETTLED_AT + PROPAGATION_TIME);
    const sentAt = second.clock.now();
    world.clock.runUntil(SETTLED_AT + PROPAGATION_TIME + 20);
    deliverResponse(world, first, 3);
    world.deliver(second, { kind: 'serverLimitRead', server: SERVER, reading: null, sentAt });
    world.clock.runUntil(SETTLED_AT + 2 * PROPAGATION_TIME);
    expect(limits(world)).toEqual(world.daemons.map(() => 3));
  });

  it('sends only changes: an unchanged limit causes no further updates', () => {
    const world = new RouterSimulation(9, 6, 5);
    world.clock.runUntil(SETTLED_AT);
    announceLimit(world, 3);
    world.clock.runUntil(SETTLED_AT + 5_000);
    const lines = world.events.filter((line) => line.includes('server_names_limit'));
    expect(lines.length).toEqual(world.daemons.length);
  });
});
