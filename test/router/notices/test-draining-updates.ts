/*
 * A server's notice that it is draining reaches one daemon with a response. The others, the leader among them, learn of it
 * over the propagation tree, so that keys move before the server stops accepting requests for them: the list in the store
 * may say so much later, or never.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { DrainingServers } from '../../../src/router/notices/draining-servers.js';
import { BOUNDS } from '../support/bounds.js';
import { type SimulatedDaemon, RouterSimulation } from '../support/router-simulation.js';

const SETTLING_TIME = 6_000;
/** Updates reach all daemons within this time, in ms, while the leader stays the same. */
const PROPAGATION_TIME = 100;

function ownsUnits(simulation: RouterSimulation, server: string): boolean {
  return (simulation.leader()?.state.ownershipView.units ?? []).some(({ owner }) => owner === server);
}

/** Delivers a response whose server says that it is draining to a daemon that doesn't lead. */
function deliverDrainingNotice(simulation: RouterSimulation): {
  daemon: SimulatedDaemon;
  server: string;
  noticedAt: number;
} {
  const daemon = simulation.daemons.find(({ state }) => state.leadership === null) as SimulatedDaemon;
  const server = 's2';
  simulation.deliver(daemon, { kind: 'serverNoticed', server, notice: { leaving: true, rest: null } });
  return { daemon, server, noticedAt: simulation.clock.now };
}

describe('the notice that a server is draining', () => {
  it('reaches every daemon, and the server loses its keys while it still accepts requests for them', () => {
    const simulation = new RouterSimulation(3, 6, 5);
    simulation.clock.runUntil(SETTLING_TIME);
    expect(ownsUnits(simulation, 's2')).toEqual(true);
    const { server, noticedAt } = deliverDrainingNotice(simulation);
    simulation.clock.runUntil(noticedAt + PROPAGATION_TIME);
    for (const { state } of simulation.daemons) {
      expect((state.servers.get(server)?.drainingSince ?? 0) - noticedAt < PROPAGATION_TIME).toEqual(true);
    }
    simulation.clock.runUntil(noticedAt + BOUNDS.drain / 2);
    expect(ownsUnits(simulation, server)).toEqual(false);
    expect(simulation.unservedKeys()).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
  });

  it('survives an outage of the store, and holds for the next leader', () => {
    const simulation = new RouterSimulation(4, 6, 5);
    simulation.clock.runUntil(SETTLING_TIME);
    simulation.daemons.forEach((daemon) => (daemon.storeReachable = false));
    const { server, noticedAt } = deliverDrainingNotice(simulation);
    simulation.clock.runUntil(noticedAt + 11_000);
    simulation.daemons.forEach((daemon) => (daemon.storeReachable = true));
    simulation.clock.runUntil(noticedAt + 15_000);
    expect(
      simulation.daemons.every(({ state }) => state.drainingServers.drainingSince(server) !== null),
    ).toEqual(true);
    expect(ownsUnits(simulation, server)).toEqual(false);
    expect(simulation.checker.violations).toEqual([]);
  });

  it('is learned by a daemon that restarts', () => {
    const simulation = new RouterSimulation(5, 6, 5);
    simulation.clock.runUntil(SETTLING_TIME);
    const { daemon, server, noticedAt } = deliverDrainingNotice(simulation);
    simulation.clock.runUntil(noticedAt + PROPAGATION_TIME);
    daemon.alive = false;
    simulation.clock.runUntil(noticedAt + 500);
    simulation.startDaemon(daemon);
    simulation.clock.runUntil(noticedAt + 4_000);
    const learnedAt = daemon.state.drainingServers.drainingSince(server);
    // Each daemon has its own clock, so the age of the notice is compared.
    const age = daemon.clock.now() - (learnedAt ?? Number.NaN);
    expect(Math.abs(age - (simulation.clock.now - noticedAt)) < PROPAGATION_TIME).toEqual(true);
  });
});

describe('the table of draining servers', () => {
  it('keeps the earliest time, and reports a change only for a new server or a clearly earlier time', () => {
    const leaving = new DrainingServers();
    expect(leaving.record('s1', 1_000)).toEqual(true);
    expect(leaving.record('s1', 1_200)).toEqual(false);
    expect(leaving.record('s1', 950)).toEqual(false);
    expect(leaving.drainingSince('s1')).toEqual(950);
    expect(leaving.record('s1', 300)).toEqual(true);
    expect(leaving.drainingSince('s1')).toEqual(300);
  });

  it('is bounded', () => {
    const leaving = new DrainingServers();
    for (let index = 0; index < 2_000; index += 1) {
      leaving.record(`s${index}`, index);
    }
    expect(leaving.statement(2_000).length).toEqual(512);
  });
});
