import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { SimulatedServer } from '../support/simulated-server.js';
import { RouterSimulation } from '../support/router-simulation.js';

const SEEDS = [1, 2, 3];
/** Time in milliseconds at which entries of further servers are written. */
const SETTLED = 5_000;
const CHECK_INTERVAL = 20;
const REQUEST_INTERVAL = 50;
/** Keys of several owners, all of them requested in each interval. */
const BUSY_KEYS = Array.from({ length: 12 }, (_, index) => index * 512 + 7);

/** Requests the same keys at every daemon, which keeps their owner busy. */
function keepRequesting(simulation: RouterSimulation): void {
  const send = (): void => {
    simulation.countKeyRequests(BUSY_KEYS);
    simulation.clock.schedule(REQUEST_INTERVAL, send);
  };
  simulation.clock.schedule(1_000, send);
}

function owners(simulation: RouterSimulation): Set<string> {
  return new Set(simulation.leader()?.state.leadership?.table.units.map((unit) => unit.owner));
}

/** Runs a simulation until a time, or until a condition holds. Returns the time. */
function runUntil(simulation: RouterSimulation, end: number, isOver: () => boolean): number {
  while (simulation.clock.now < end && !isOver()) {
    simulation.clock.runUntil(simulation.clock.now + CHECK_INTERVAL);
  }
  return simulation.clock.now;
}

/** Writes an entry of a server that can't be reached, with many slots. */
function addUnreachable(simulation: RouterSimulation, slots: number, isRefusing: boolean): SimulatedServer {
  const server = simulation.addServer('10.0.9.9:80');
  server.alive = false;
  server.refusesConnections = isRefusing;
  simulation.changeSlots(server.id, slots);
  return server;
}

/** Returns the greatest number of consecutive checks at which a key had no owner. */
function longestOutage(simulation: RouterSimulation, end: number): number {
  let [current, longest] = [0, 0];
  runUntil(simulation, end, () => {
    current = simulation.unservedKeys().length > 0 ? current + 1 : 0;
    longest = Math.max(longest, current);
    return false;
  });
  return longest * CHECK_INTERVAL;
}

describe('a server that nobody has reached', () => {
  for (const isRefusing of [true, false]) {
    const kind = isRefusing ? 'refuses connections' : 'is silent';
    // Guards against keys without an owner because their plan believed the capacity in an entry.
    it(`gets no keys for the capacity in its entry while it ${kind}`, () => {
      for (const seed of SEEDS) {
        const simulation = new RouterSimulation(seed);
        keepRequesting(simulation);
        simulation.clock.runUntil(SETTLED);
        const { id } = addUnreachable(simulation, 10_000, isRefusing);
        const end = SETTLED + 10_000;
        expect(runUntil(simulation, end, () => owners(simulation).has(id))).toEqual(end);
      }
    });

    it(`gets no keys in the first assignment while it ${kind}`, () => {
      for (const seed of SEEDS) {
        const simulation = new RouterSimulation(seed);
        const { id } = addUnreachable(simulation, 2, isRefusing);
        const end = 4_000;
        expect(runUntil(simulation, end, () => owners(simulation).has(id))).toEqual(end);
        expect(simulation.unservedKeys()).toEqual([]);
      }
    });

    it(`gets no keys of a server that ends, from the next leader either, while it ${kind}`, () => {
      for (const seed of SEEDS) {
        const simulation = new RouterSimulation(seed);
        simulation.clock.runUntil(SETTLED);
        const { id } = addUnreachable(simulation, 10_000, isRefusing);
        const leader = simulation.leader();
        if (leader !== undefined) {
          leader.alive = false;
        }
        const [ending] = simulation.servers as [SimulatedServer];
        ending.alive = false;
        simulation.removeEntry(ending.id);
        const end = SETTLED + 12_000;
        expect(runUntil(simulation, end, () => owners(simulation).has(id))).toEqual(end);
        expect(simulation.unservedKeys()).toEqual([]);
      }
    });
  }

  it('leaves all keys with an owner while its entry is written again and again', () => {
    for (const seed of SEEDS) {
      const simulation = new RouterSimulation(seed);
      keepRequesting(simulation);
      simulation.clock.runUntil(SETTLED);
      const { id } = addUnreachable(simulation, 10_000, true);
      for (let at = 0; at < 5_000; at += 90) {
        simulation.clock.schedule(at, () => simulation.changeSlots(id, 10_000 + at));
      }
      expect(longestOutage(simulation, SETTLED + 6_000) < 300).toEqual(true);
    }
  });
});

describe('a server that joins', () => {
  // Guards against new servers that wait for keys because nobody asks them whether they answer.
  it('gets keys of a busy server within a second', (test) => {
    for (const seed of SEEDS) {
      const simulation = new RouterSimulation(seed, 3, 1);
      keepRequesting(simulation);
      simulation.clock.runUntil(SETTLED);
      const joined = simulation.addServer('10.0.8.1:80');
      const servedAt = runUntil(simulation, SETTLED + 5_000, () => owners(simulation).has(joined.id));
      test.diagnostic(`seed ${seed}: after ${servedAt - SETTLED} ms`);
      expect(servedAt <= SETTLED + 1_000).toEqual(true);
    }
  });

  it('is probed less and less often while it does not answer', () => {
    const simulation = new RouterSimulation(1, 3, 1);
    simulation.clock.runUntil(SETTLED);
    addUnreachable(simulation, 2, true);
    const probes = (): number => simulation.leader()?.state.counters.probes ?? 0;
    const former = probes();
    simulation.clock.runUntil(SETTLED + 20_000);
    expect(probes() - former >= 6).toEqual(true);
    expect(probes() - former <= 10).toEqual(true);
  });

  it('gets keys once it answers, if it did not at first', () => {
    for (const seed of SEEDS) {
      const simulation = new RouterSimulation(seed, 3, 1);
      keepRequesting(simulation);
      simulation.clock.runUntil(SETTLED);
      const joined = simulation.addServer('10.0.8.1:80');
      joined.alive = false;
      joined.refusesConnections = true;
      simulation.clock.runUntil(SETTLED + 2_000);
      joined.alive = true;
      joined.refusesConnections = false;
      const servedAt = runUntil(simulation, SETTLED + 8_000, () => owners(simulation).has(joined.id));
      expect(servedAt <= SETTLED + 6_500).toEqual(true);
    }
  });
});

describe('the first assignment', () => {
  it('comes a second after the leader was elected, with all servers that answer', (test) => {
    for (const seed of SEEDS) {
      const simulation = new RouterSimulation(seed, 3, 40);
      runUntil(simulation, 5_000, () => simulation.leader() !== undefined);
      const electedAt = simulation.clock.now;
      const assignedAt = runUntil(simulation, 5_000, () => owners(simulation).size > 0);
      test.diagnostic(`seed ${seed}: ${assignedAt - electedAt} ms after the election at ${electedAt}`);
      expect(owners(simulation).size).toEqual(40);
      expect(assignedAt <= electedAt + 1_100).toEqual(true);
    }
  });
});
