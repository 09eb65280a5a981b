import { expect } from 'earl';
import { describe, it } from 'node:test';
import { CHECKED_KEYS } from '../support/simulated-server.js';
import { RouterSimulation } from '../support/router-simulation.js';

/** Requests adjacent keys, so that units are split and spread over the servers. */
function requestAdjacentKeys(world: RouterSimulation): void {
  const sendRequests = (): void => {
    world.countKeyRequests(CHECKED_KEYS.slice(0, 24));
    world.clock.schedule(300, sendRequests);
  };
  world.clock.schedule(1_000, sendRequests);
}

function hasLeadershipBeenWonAfter(world: RouterSimulation, time: number): boolean {
  return world.events.some((line) => {
    const [at, , event] = line.split(' ');
    return Number(at) > time && event === 'leadership_won';
  });
}

describe('a new leader', () => {
  // Guards against waiting again for old leases: after the loss of all machines, keys that had long been
  // moved off a dead server waited for the lease of that server again.
  it('does not wait again for the former owner of a unit that was granted long ago', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const world = new RouterSimulation(seed);
      requestAdjacentKeys(world);
      world.clock.runUntil(6_000);
      const [victim] = world.servers;
      if (victim === undefined) {
        throw new Error('no server');
      }
      victim.alive = false;
      world.clock.runUntil(10_000);
      world.removeEntry(victim.id);
      world.clock.runUntil(18_000);
      expect(world.unservedKeys()).toEqual([]);
      for (const daemon of world.daemons) {
        daemon.alive = false;
      }
      world.clock.runUntil(18_500);
      world.daemons.forEach((daemon) => world.startDaemon(daemon));
      while (!hasLeadershipBeenWonAfter(world, 18_500)) {
        world.clock.runUntil(world.clock.now + 10);
      }
      const waiting = [...(world.leader()?.state.leadership?.unitProgress.values() ?? [])].filter(
        (progress) => progress.phase !== 'held',
      );
      expect(waiting).toEqual([]);
      expect(world.checker.violations).toEqual([]);
    }
  });

  // Guards against a slow takeover at a restart: after the loss of all machines, the first daemon to start
  // waited 0.4 s for the former leader.
  it('takes over at once when it has just started and the process of the leader has ended', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const world = new RouterSimulation(seed);
      world.clock.runUntil(10_000);
      const follower = world.daemons.find((daemon) => daemon !== world.leader());
      for (const daemon of world.daemons) {
        daemon.alive = false;
      }
      world.clock.runUntil(10_400);
      if (follower !== undefined) {
        world.startDaemon(follower);
      }
      while (!hasLeadershipBeenWonAfter(world, 10_400) && world.clock.now < 13_000) {
        world.clock.runUntil(world.clock.now + 10);
      }
      expect(world.clock.now - 10_400 < 700).toEqual(true);
    }
  });

  // Guards against a late takeover when the leader is lost as the store goes down: its successor watched the
  // unchanged leader record for another 1.4 s after the store was available again, and then waited 6 s for
  // leases that had long expired.
  it('takes over as soon as the store is available again when the leader was lost before the outage', () => {
    const outage = 4_000;
    for (let seed = 1; seed <= 5; seed += 1) {
      const world = new RouterSimulation(seed, 4);
      world.clock.runUntil(10_000);
      const leader = world.leader();
      if (leader === undefined) {
        throw new Error('no leader');
      }
      // The leader is frozen rather than ended, so its address refuses no connections.
      leader.pausedUntil = Number.POSITIVE_INFINITY;
      world.store.downUntil = 10_000 + outage;
      while (!hasLeadershipBeenWonAfter(world, 10_000) && world.clock.now < 20_000) {
        world.clock.runUntil(world.clock.now + 10);
      }
      // A read that is in progress in the outage ends up to a second after it.
      expect(world.clock.now - (10_000 + outage) < 1_300).toEqual(true);
      const won = world.events.find((line) => line.includes('leadership_won') && line.includes('"term":2'));
      expect(Number(/"waits_for":(\d+)/.exec(won ?? '')?.[1]) < 3_000).toEqual(true);
      expect(world.checker.violations).toEqual([]);
    }
  });
});
