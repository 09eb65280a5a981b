/**
 * Symptom: changes of the configuration that the store had acknowledged were in force on no daemon at all, for up to 14 s;
 * requests went on being answered under an older version, and no line of any log said that anything was amiss.
 *
 * Sequence: the store answered nobody for 8.6 s. Meanwhile most daemons were killed and started again; the leader's
 * successor and its two watchers, still in their first life, had begun to follow the store during the outage. When the store was back,
 * the daemons that had started again listed anew, joined the leader and ceased to follow the store. Only the
 * leader and its two watchers followed it from then on.
 *
 * Cause: a store never answers a call that came to it while it was away, and the connection stays open. The leader and its watchers
 * had each begun a watch then, and waited for it for 21 s: nothing bounded how old their news could be. The writes that
 * confirm the leadership were answered all the while, so that the leader went on telling others that all was well.
 *
 * Settled by: `feed_lost {"feed":"configuration","call":"watch","waited":21001,"reason":"... timeout"}` at the leader and a watcher, 21 s after
 * their `store_following`, while a watch from before the outage, at one daemon, was answered after it.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { CONFIGURATION, RouterWorld, type Daemon } from '../support/router-world.js';

/** A change is in force within this time of its acknowledgement. */
const APPLY = 2_000;
/** And an evacuation within this one. */
const EVACUATE = 5_000;
/** After trouble with the store or with connections, that holds again from this long after its end. */
const CONTACT = 3_000;
/** Daemons have found their places by then. */
const SETTLED = 8_000;
/** Long enough that daemons ask the store for themselves, since their leader has not been confirmed for so long. */
const OUTAGE = 8_600;
/** When in an outage daemons are killed: it decides who follows the store after it. */
const KILL_TIMES = [300, 1_500, 3_400];
const LATE_KILL = 3_400;
const RESTART_AFTER = 500;

/** Changes news of every kind: the configuration, a server's entry, the evacuated zones. */
function changeEverything(world: RouterWorld, version: number): void {
  world.configure({ ...CONFIGURATION, version });
  world.resize('s1', version);
  world.evacuate([`elsewhere-${version}`]);
}

function missingNews({ state }: Daemon, version: number): string[] {
  const missing = [
    (state.configuration?.version ?? 0) < version ? 'configuration' : null,
    (state.servers.get('s1')?.server.slots ?? 0) < version ? 'servers' : null,
    state.evacuations.has(`elsewhere-${version}`) ? null : 'evacuations',
  ];
  return missing.filter((feed) => feed !== null);
}

/** Daemons that are alive and don't know of a change, with the kinds of news that they lack. */
function behind(world: RouterWorld, version: number): string[] {
  return world.daemons
    .filter(({ alive }) => alive)
    .flatMap((daemon) => missingNews(daemon, version).map((feed) => `${daemon.name}: ${feed}`));
}

function settledWorld(seed: number, daemons = 11): RouterWorld {
  const world = new RouterWorld(seed, daemons, 6);
  world.clock.runUntil(SETTLED);
  return world;
}

/** The store is away; some daemons are killed meanwhile and start again half a second later. */
function outage(world: RouterWorld, killed: readonly Daemon[], killedAfter = LATE_KILL): void {
  const from = world.clock.now;
  world.store.downUntil = from + OUTAGE;
  world.clock.runUntil(from + killedAfter);
  killed.forEach((daemon) => (daemon.alive = false));
  world.clock.runUntil(from + killedAfter + RESTART_AFTER);
  killed.forEach((daemon) => world.startDaemon(daemon));
  world.clock.runUntil(from + OUTAGE);
}

function leaderOf(world: RouterWorld): Daemon {
  const leader = world.leader();
  if (leader === undefined) {
    throw new Error('nobody leads');
  }
  return leader;
}

/** The leader, and the daemons that follow the store beside it. */
function followers(world: RouterWorld): Daemon[] {
  return world.daemons.filter(({ alive, state }) => alive && state.followsStore);
}

function cases(seeds: number): [seed: number, killedAfter: number][] {
  const numbers = Array.from({ length: seeds }, (_, index) => index + 1);
  return numbers.flatMap((seed) => KILL_TIMES.map((time): [number, number] => [seed, time]));
}

/** One change as soon as the store is back, and one each two seconds. */
function expectChangesInForce(world: RouterWorld): void {
  changeEverything(world, 2);
  world.clock.runUntil(world.clock.now + CONTACT);
  expect(behind(world, 2)).toEqual([]);
  for (let version = 3; version <= 12; version += 1) {
    changeEverything(world, version);
    world.clock.runUntil(world.clock.now + APPLY);
    expect(behind(world, version)).toEqual([]);
  }
}

describe('a change in the store', () => {
  it('is in force in time after an outage in which all who followed the store were killed', () => {
    for (const [seed, killedAfter] of cases(5)) {
      const world = settledWorld(seed);
      outage(world, followers(world), killedAfter);
      expectChangesInForce(world);
    }
  });

  it('is in force in time after an outage in which most daemons but the leader were killed', () => {
    for (const [seed, killedAfter] of cases(10)) {
      const world = settledWorld(seed);
      const leader = leaderOf(world);
      const others = world.daemons.filter((daemon) => daemon !== leader);
      outage(world, others.slice(0, 7), killedAfter);
      expectChangesInForce(world);
    }
  });

  it('is in force in time when the connections on which all watches wait go silent', () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const world = settledWorld(seed);
      world.silenceWatches();
      changeEverything(world, 2);
      world.clock.runUntil(world.clock.now + CONTACT);
      expect(behind(world, 2)).toEqual([]);
      changeEverything(world, 3);
      world.clock.runUntil(world.clock.now + APPLY);
      expect(behind(world, 3)).toEqual([]);
    }
  });

  it('is in force in time below relays, too', () => {
    for (let seed = 1; seed <= 2; seed += 1) {
      const world = settledWorld(seed, 40);
      outage(world, followers(world));
      world.silenceWatches();
      world.clock.runUntil(world.clock.now + CONTACT);
      changeEverything(world, 2);
      world.clock.runUntil(world.clock.now + APPLY);
      expect(behind(world, 2)).toEqual([]);
    }
  });

  it('is in force in time when it was made while watches heard nothing, and the history is gone', () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const world = settledWorld(seed);
      [world.configurations, world.serverEntries, world.evacuations].forEach((feed) =>
        feed.forgetHistory(1_000),
      );
      world.clock.runUntil(world.clock.now + 400);
      changeEverything(world, 2);
      world.clock.runUntil(world.clock.now + APPLY);
      expect(behind(world, 2)).toEqual([]);
    }
  });

  it('reaches the daemons that the store serves when it turns the leader and its watchers away', () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const world = settledWorld(seed);
      followers(world).forEach((daemon) => (daemon.storeReachable = false));
      world.clock.runUntil(world.clock.now + 100);
      changeEverything(world, 2);
      world.clock.runUntil(world.clock.now + APPLY);
      const served = world.daemons.filter(({ storeReachable }) => storeReachable);
      const missing = (): string[] => served.flatMap((daemon) => missingNews(daemon, 2));
      expect(missing().filter((feed) => feed !== 'evacuations')).toEqual([]);
      world.clock.runUntil(world.clock.now + EVACUATE - APPLY);
      expect(missing()).toEqual([]);
    }
  });

  it('costs few calls: the store is asked by as few daemons as ever', () => {
    const world = settledWorld(1);
    const calls = (): number =>
      [world.configurations, world.serverEntries].reduce(
        (sum, { lists, watches }) => sum + lists + watches,
        0,
      );
    const before = calls();
    world.clock.runUntil(world.clock.now + 10_000);
    expect(followers(world).length).toEqual(3);
    // Two feeds of three daemons, each a call a second.
    expect(calls() - before <= 60).toEqual(true);
    expect(leaderOf(world).state.followsStore).toEqual(true);
  });
});
