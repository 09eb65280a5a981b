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
function deliverResponse(
  simulation: RouterSimulation,
  daemon: SimulatedDaemon,
  reading: number | null,
): void {
  const now = daemon.clock.now();
  simulation.deliver(daemon, { kind: 'serverLimitRead', server: SERVER, reading, sentAt: now - 0.5 });
}

function follower(simulation: RouterSimulation): SimulatedDaemon {
  return simulation.daemons.find(({ state }) => state.leadership === null) as SimulatedDaemon;
}

function limits(simulation: RouterSimulation): (number | null)[] {
  return simulation.daemons.map(({ state }) => state.limits.of(SERVER));
}

/** Makes the server announce the same limit in its responses to control calls as the tests deliver to daemons. */
function announceLimit(simulation: RouterSimulation, rate: number | null): void {
  simulation.servers.filter(({ id }) => id === SERVER).forEach((server) => (server.limit = rate));
}

describe('the propagation of a limit', () => {
  it('reaches every daemon when the limit begins, changes and ends', () => {
    const simulation = new RouterSimulation(3, 6, 5);
    simulation.clock.runUntil(SETTLED_AT);
    for (const rate of [3, 1.5, 6, 0, null]) {
      announceLimit(simulation, rate);
      deliverResponse(simulation, follower(simulation), rate);
      simulation.clock.runUntil(simulation.clock.now + PROPAGATION_TIME);
      expect(limits(simulation)).toEqual(simulation.daemons.map(() => rate));
    }
  });

  it('reaches each of 40 daemons through relays', () => {
    const simulation = new RouterSimulation(4, 40, 5);
    simulation.clock.runUntil(SETTLED_AT);
    announceLimit(simulation, 3);
    deliverResponse(simulation, simulation.daemons.at(-1) as SimulatedDaemon, 3);
    simulation.clock.runUntil(SETTLED_AT + PROPAGATION_TIME);
    expect(limits(simulation)).toEqual(simulation.daemons.map(() => 3));
  });

  it('starts from the responses to the control calls of the leader if the server receives no requests', () => {
    const simulation = new RouterSimulation(5, 6, 5);
    simulation.clock.runUntil(SETTLED_AT);
    announceLimit(simulation, 3);
    simulation.clock.runUntil(SETTLED_AT + 1_000);
    expect(limits(simulation)).toEqual(simulation.daemons.map(() => 3));
    announceLimit(simulation, null);
    simulation.clock.runUntil(SETTLED_AT + 2_000);
    expect(limits(simulation)).toEqual(simulation.daemons.map(() => null));
  });

  it('works while the store is unreachable', () => {
    const simulation = new RouterSimulation(6, 6, 5);
    simulation.clock.runUntil(SETTLED_AT);
    simulation.daemons.forEach((daemon) => (daemon.storeReachable = false));
    simulation.clock.runUntil(SETTLED_AT + 2_000);
    announceLimit(simulation, 3);
    deliverResponse(simulation, follower(simulation), 3);
    simulation.clock.runUntil(SETTLED_AT + 2_000 + PROPAGATION_TIME);
    expect(limits(simulation)).toEqual(simulation.daemons.map(() => 3));
  });

  it('reaches a daemon that restarts', () => {
    const simulation = new RouterSimulation(7, 6, 5);
    simulation.clock.runUntil(SETTLED_AT);
    const daemon = follower(simulation);
    announceLimit(simulation, 3);
    daemon.alive = false;
    simulation.clock.runUntil(SETTLED_AT + 1_000);
    simulation.startDaemon(daemon);
    simulation.clock.runUntil(SETTLED_AT + 3_000);
    expect(daemon.state.limits.of(SERVER)).toEqual(3);
  });

  it('keeps the limit, when two daemons read different values, until a later request shows its end', () => {
    const simulation = new RouterSimulation(8, 6, 5);
    simulation.clock.runUntil(SETTLED_AT);
    const [first, second] = simulation.daemons as [SimulatedDaemon, SimulatedDaemon];
    announceLimit(simulation, 3);
    deliverResponse(simulation, first, 3);
    simulation.clock.runUntil(SETTLED_AT + PROPAGATION_TIME);
    const sentAt = second.clock.now();
    simulation.clock.runUntil(SETTLED_AT + PROPAGATION_TIME + 20);
    deliverResponse(simulation, first, 3);
    simulation.deliver(second, { kind: 'serverLimitRead', server: SERVER, reading: null, sentAt });
    simulation.clock.runUntil(SETTLED_AT + 2 * PROPAGATION_TIME);
    expect(limits(simulation)).toEqual(simulation.daemons.map(() => 3));
  });

  it('sends only changes: an unchanged limit causes no further updates', () => {
    const simulation = new RouterSimulation(9, 6, 5);
    simulation.clock.runUntil(SETTLED_AT);
    announceLimit(simulation, 3);
    simulation.clock.runUntil(SETTLED_AT + 5_000);
    const lines = simulation.events.filter((line) => line.includes('server_names_limit'));
    expect(lines.length).toEqual(simulation.daemons.length);
  });
});
