import { expect } from 'earl';
import { describe, it } from 'node:test';
import { CHECKED_KEYS } from '../support/simulated-server.js';
import { RouterSimulation } from '../support/router-simulation.js';

/** Requests adjacent keys, so that units are split and spread over the servers. */
function requestAdjacentKeys(simulation: RouterSimulation): void {
  const sendRequests = (): void => {
    simulation.countKeyRequests(CHECKED_KEYS.slice(0, 24));
    simulation.clock.schedule(300, sendRequests);
  };
  simulation.clock.schedule(1_000, sendRequests);
}

function hasLeadershipBeenWonAfter(simulation: RouterSimulation, time: number): boolean {
  return simulation.events.some((line) => {
    const [at, , event] = line.split(' ');
    return Number(at) > time && event === 'leadership_won';
  });
}

describe('a new leader', () => {
  // Guards against waiting again for old leases: after the loss of all machines, keys that had long been
  // moved off a dead server waited for the lease of that server again.
  it('does not wait again for the former owner of a unit that was granted long ago', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const simulation = new RouterSimulation(seed);
      requestAdjacentKeys(simulation);
      simulation.clock.runUntil(6_000);
      const [victim] = simulation.servers;
      if (victim === undefined) {
        throw new Error('no server');
      }
      victim.alive = false;
      simulation.clock.runUntil(10_000);
      simulation.removeEntry(victim.id);
      simulation.clock.runUntil(18_000);
      expect(simulation.unservedKeys()).toEqual([]);
      for (const daemon of simulation.daemons) {
        daemon.alive = false;
      }
      simulation.clock.runUntil(18_500);
      simulation.daemons.forEach((daemon) => simulation.startDaemon(daemon));
      while (!hasLeadershipBeenWonAfter(simulation, 18_500)) {
        simulation.clock.runUntil(simulation.clock.now + 10);
      }
      const waiting = [...(simulation.leader()?.state.leadership?.unitProgress.values() ?? [])].filter(
        (progress) => progress.phase !== 'held',
      );
      expect(waiting).toEqual([]);
      expect(simulation.checker.violations).toEqual([]);
    }
  });

  // Guards against a slow takeover at a restart: after the loss of all machines, the first daemon to start
  // waited 0.4 s for the former leader.
  it('takes over at once when it has just started and the process of the leader has ended', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const simulation = new RouterSimulation(seed);
      simulation.clock.runUntil(10_000);
      const follower = simulation.daemons.find((daemon) => daemon !== simulation.leader());
      for (const daemon of simulation.daemons) {
        daemon.alive = false;
      }
      simulation.clock.runUntil(10_400);
      if (follower !== undefined) {
        simulation.startDaemon(follower);
      }
      while (!hasLeadershipBeenWonAfter(simulation, 10_400) && simulation.clock.now < 13_000) {
        simulation.clock.runUntil(simulation.clock.now + 10);
      }
      expect(simulation.clock.now - 10_400 < 700).toEqual(true);
    }
  });

  // Guards against a late takeover when the leader is lost as the store goes down: its successor watched the
  // unchanged leader record for another 1.4 s after the store was available again, and then waited 6 s for
  // leases that had long expired.
  it('takes over as soon as the store is available again when the leader was lost before the outage', () => {
    const outage = 4_000;
    for (let seed = 1; seed <= 5; seed += 1) {
      const simulation = new RouterSimulation(seed, 4);
      simulation.clock.runUntil(10_000);
      const leader = simulation.leader();
      if (leader === undefined) {
        throw new Error('no leader');
      }
      // The leader is frozen rather than ended, so its address refuses no connections.
      leader.pausedUntil = Number.POSITIVE_INFINITY;
      simulation.store.downUntil = 10_000 + outage;
      while (!hasLeadershipBeenWonAfter(simulation, 10_000) && simulation.clock.now < 20_000) {
        simulation.clock.runUntil(simulation.clock.now + 10);
      }
      // A read that is in progress in the outage ends up to a second after it.
      expect(simulation.clock.now - (10_000 + outage) < 1_300).toEqual(true);
      const won = simulation.events.find(
        (line) => line.includes('leadership_won') && line.includes('"term":2'),
      );
      expect(Number(/"waits_for":(\d+)/.exec(won ?? '')?.[1]) < 3_000).toEqual(true);
      expect(simulation.checker.violations).toEqual([]);
    }
  });
});
