/**
 * Guards against daemons that serve an old configuration after an outage of the store. The store had acknowledged changes
 * that were in force on no daemon for up to 14 s, and no log line showed it.
 *
 * The store never answers a call that it receives during an outage, and the connection stays open. The store was unavailable
 * for 8.6 s while most daemons were killed and restarted. The next leader and its two watchers, which had not been
 * restarted, began their watches during the outage; the restarted daemons listed after it, joined the leader and stopped
 * watching the store. From then on only the leader and its two watchers watched it, with watches that were never answered.
 *
 * Each of them waited 21 s for its watch (`feed_lost` with `"call":"watch","waited":21001`, 21 s after `store_following`),
 * because nothing bounded the age of their data. A watch that had begun before the outage was answered after it. The
 * writes that confirm the leadership were answered meanwhile, so the leader kept reporting that its data was current.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { CONFIGURATION, RouterSimulation, type SimulatedDaemon } from '../support/router-simulation.js';

/** A change is in force within this time after its acknowledgement. */
const CHANGE_BOUND = 2_000;
/** An evacuation is in force within this time after its acknowledgement. */
const EVACUATION_BOUND = 5_000;
/** Both bounds hold again from this long after the end of a fault of the store or of connections. */
const CONTACT_TIME = 3_000;
/** By then daemons have joined the propagation tree. */
const SETTLING_TIME = 8_000;
/** Long enough that daemons watch the store themselves, because their leader has not been confirmed for too long. */
const OUTAGE_TIME = 8_600;
/** When daemons are killed during an outage, which decides which daemons watch the store after it. */
const KILL_TIMES = [300, 1_500, 3_400];
const LATE_KILL_TIME = 3_400;
const RESTART_DELAY = 500;

/** Changes data of every feed: the configuration, a server's entry and the evacuated zones. */
function changeEverything(simulation: RouterSimulation, version: number): void {
  simulation.configure({ ...CONFIGURATION, version });
  simulation.changeSlots('s1', version);
  simulation.evacuate([`elsewhere-${version}`]);
}

function feedsBehind({ state }: SimulatedDaemon, version: number): string[] {
  const missing = [
    (state.configuration?.version ?? 0) < version ? 'configuration' : null,
    (state.servers.get('s1')?.server.slots ?? 0) < version ? 'servers' : null,
    state.evacuations.has(`elsewhere-${version}`) ? null : 'evacuations',
  ];
  return missing.filter((feed) => feed !== null);
}

/** Returns the running daemons that lack a change, with the feeds in which they lack it. */
function daemonsBehind(simulation: RouterSimulation, version: number): string[] {
  return simulation.daemons
    .filter(({ alive }) => alive)
    .flatMap((daemon) => feedsBehind(daemon, version).map((feed) => `${daemon.name}: ${feed}`));
}

function createSettledSimulation(seed: number, daemons = 11): RouterSimulation {
  const simulation = new RouterSimulation(seed, daemons, 6);
  simulation.clock.runUntil(SETTLING_TIME);
  return simulation;
}

/** Makes the store unavailable; meanwhile some daemons are killed and restarted half a second later. */
function simulateOutage(
  simulation: RouterSimulation,
  killed: readonly SimulatedDaemon[],
  killedAfter = LATE_KILL_TIME,
): void {
  const from = simulation.clock.now;
  simulation.store.downUntil = from + OUTAGE_TIME;
  simulation.clock.runUntil(from + killedAfter);
  killed.forEach((daemon) => (daemon.alive = false));
  simulation.clock.runUntil(from + killedAfter + RESTART_DELAY);
  killed.forEach((daemon) => simulation.startDaemon(daemon));
  simulation.clock.runUntil(from + OUTAGE_TIME);
}

function leaderOf(simulation: RouterSimulation): SimulatedDaemon {
  const leader = simulation.leader();
  if (leader === undefined) {
    throw new Error('nobody leads');
  }
  return leader;
}

/** Returns the leader and the other daemons that watch the store. */
function storeWatchers(simulation: RouterSimulation): SimulatedDaemon[] {
  return simulation.daemons.filter(({ alive, state }) => alive && state.followsStore);
}

function cases(seeds: number): [seed: number, killedAfter: number][] {
  const numbers = Array.from({ length: seeds }, (_, index) => index + 1);
  return numbers.flatMap((seed) => KILL_TIMES.map((time): [number, number] => [seed, time]));
}

/** Makes one change as soon as the store is back, then one every two seconds, and checks that each is in force in time. */
function expectChangesInForce(simulation: RouterSimulation): void {
  changeEverything(simulation, 2);
  simulation.clock.runUntil(simulation.clock.now + CONTACT_TIME);
  expect(daemonsBehind(simulation, 2)).toEqual([]);
  for (let version = 3; version <= 12; version += 1) {
    changeEverything(simulation, version);
    simulation.clock.runUntil(simulation.clock.now + CHANGE_BOUND);
    expect(daemonsBehind(simulation, version)).toEqual([]);
  }
}

describe('a change in the store', () => {
  it('is in force in time after an outage in which all daemons that watched the store were killed', () => {
    for (const [seed, killedAfter] of cases(5)) {
      const simulation = createSettledSimulation(seed);
      simulateOutage(simulation, storeWatchers(simulation), killedAfter);
      expectChangesInForce(simulation);
    }
  });

  it('is in force in time after an outage in which most daemons but the leader were killed', () => {
    for (const [seed, killedAfter] of cases(10)) {
      const simulation = createSettledSimulation(seed);
      const leader = leaderOf(simulation);
      const others = simulation.daemons.filter((daemon) => daemon !== leader);
      simulateOutage(simulation, others.slice(0, 7), killedAfter);
      expectChangesInForce(simulation);
    }
  });

  it('is in force in time when the connections of all watches stop responding', () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const simulation = createSettledSimulation(seed);
      simulation.blockWatches();
      changeEverything(simulation, 2);
      simulation.clock.runUntil(simulation.clock.now + CONTACT_TIME);
      expect(daemonsBehind(simulation, 2)).toEqual([]);
      changeEverything(simulation, 3);
      simulation.clock.runUntil(simulation.clock.now + CHANGE_BOUND);
      expect(daemonsBehind(simulation, 3)).toEqual([]);
    }
  });

  it('is in force in time below relays, too', () => {
    for (let seed = 1; seed <= 2; seed += 1) {
      const simulation = createSettledSimulation(seed, 40);
      simulateOutage(simulation, storeWatchers(simulation));
      simulation.blockWatches();
      simulation.clock.runUntil(simulation.clock.now + CONTACT_TIME);
      changeEverything(simulation, 2);
      simulation.clock.runUntil(simulation.clock.now + CHANGE_BOUND);
      expect(daemonsBehind(simulation, 2)).toEqual([]);
    }
  });

  it('is in force in time when it was made while watches reported nothing and the history is compacted afterwards', () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const simulation = createSettledSimulation(seed);
      [simulation.configurations, simulation.serverEntries, simulation.evacuations].forEach((feed) =>
        feed.dropHistory(1_000),
      );
      simulation.clock.runUntil(simulation.clock.now + 400);
      changeEverything(simulation, 2);
      simulation.clock.runUntil(simulation.clock.now + CHANGE_BOUND);
      expect(daemonsBehind(simulation, 2)).toEqual([]);
    }
  });

  it('reaches the daemons that the store serves when it refuses the leader and its watchers', () => {
    for (let seed = 1; seed <= 6; seed += 1) {
      const simulation = createSettledSimulation(seed);
      storeWatchers(simulation).forEach((daemon) => (daemon.storeReachable = false));
      simulation.clock.runUntil(simulation.clock.now + 100);
      changeEverything(simulation, 2);
      simulation.clock.runUntil(simulation.clock.now + CHANGE_BOUND);
      const served = simulation.daemons.filter(({ storeReachable }) => storeReachable);
      const missing = (): string[] => served.flatMap((daemon) => feedsBehind(daemon, 2));
      expect(missing().filter((feed) => feed !== 'evacuations')).toEqual([]);
      simulation.clock.runUntil(simulation.clock.now + EVACUATION_BOUND - CHANGE_BOUND);
      expect(missing()).toEqual([]);
    }
  });

  it('costs few calls, because only the leader and two other daemons watch the store', () => {
    const simulation = createSettledSimulation(1);
    const calls = (): number =>
      [simulation.configurations, simulation.serverEntries].reduce(
        (sum, { listCalls: lists, watchCalls: watches }) => sum + lists + watches,
        0,
      );
    const before = calls();
    simulation.clock.runUntil(simulation.clock.now + 10_000);
    expect(storeWatchers(simulation).length).toEqual(3);
    // Two feeds of three daemons, with one call per second each.
    expect(calls() - before <= 60).toEqual(true);
    expect(leaderOf(simulation).state.followsStore).toEqual(true);
  });
});
