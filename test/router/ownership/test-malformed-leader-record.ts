import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation } from '../support/router-simulation.js';
import type { SimulatedDaemon } from '../support/simulated-daemon.js';

/** Longer than a takeover, and than the leases of the former leader after it. */
const RECOVERY_TIME = 12_000;

const ODD_RECORDS: Readonly<Record<string, (record: object) => unknown>> = {
  'an address that is none': (record) => ({ ...record, address: '127.0.0.1:65536' }),
  'a text for an address': (record) => ({ ...record, address: 'nowhere' }),
  'no fields': () => ({}),
  'a text': () => 'leader',
  'a term that is no whole number': (record) => ({ ...record, term: 1.5 }),
  'a huge term': (record) => ({ ...record, term: 2 ** 53 }),
  'a low term of another daemon': (record) => ({ ...record, term: 1, daemon: 'nobody', life: -1 }),
};

/** Lets the leadership change twice, so that the table has a later term than the first. */
function simulateThreeTerms(seed: number): RouterSimulation {
  const simulation = new RouterSimulation(seed);
  simulation.clock.runUntil(6_000);
  for (let change = 0; change < 2; change += 1) {
    const leader = simulation.leader() as SimulatedDaemon;
    leader.alive = false;
    simulation.clock.runUntil(simulation.clock.now + 6_000);
    simulation.startDaemon(leader);
    simulation.clock.runUntil(simulation.clock.now + 2_000);
  }
  return simulation;
}

function termOf(simulation: RouterSimulation): number {
  return simulation.leader()?.state.leadership?.term ?? 0;
}

describe('a leader record of another writer', () => {
  for (const [name, change] of Object.entries(ODD_RECORDS)) {
    // The daemons claimed the record for a term below that of the table, which they could then not claim, and so on for ever.
    it(`leaves the deployment with a leader of a later term, while one leads: ${name}`, () => {
      const simulation = simulateThreeTerms(1);
      const former = termOf(simulation);
      simulation.store.put('leader', change(simulation.store.get('leader') as object));
      simulation.clock.runUntil(simulation.clock.now + RECOVERY_TIME);
      expect(former >= 3).toEqual(true);
      expect(termOf(simulation) >= former).toEqual(true);
      expect(simulation.unservedKeys()).toEqual([]);
      expect(simulation.checker.violations).toEqual([]);
    });

    it(`leaves the deployment with a leader of a later term, while all daemons restart: ${name}`, () => {
      const simulation = simulateThreeTerms(2);
      const former = termOf(simulation);
      simulation.daemons.forEach((daemon) => {
        daemon.alive = false;
      });
      simulation.store.put('leader', change(simulation.store.get('leader') as object));
      simulation.clock.runUntil(simulation.clock.now + 300);
      simulation.daemons.forEach((daemon) => simulation.startDaemon(daemon));
      simulation.clock.runUntil(simulation.clock.now + RECOVERY_TIME);
      expect(termOf(simulation) > former).toEqual(true);
      expect(simulation.unservedKeys()).toEqual([]);
      expect(simulation.checker.violations).toEqual([]);
    });

    // The former leader may have granted leases until just before the record was overwritten.
    it(`lets no server hold keys of another, while the leader is cut off from the others: ${name}`, () => {
      const simulation = simulateThreeTerms(3);
      const leader = simulation.leader() as SimulatedDaemon;
      leader.peersReachable = false;
      simulation.store.put('leader', change(simulation.store.get('leader') as object));
      simulation.clock.runUntil(simulation.clock.now + RECOVERY_TIME);
      expect(simulation.unservedKeys()).toEqual([]);
      expect(simulation.checker.violations).toEqual([]);
    });
  }
});
