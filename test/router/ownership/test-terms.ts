import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation } from '../support/router-simulation.js';

const SETTLED = 4_000;
/** Time in milliseconds in which a leader is found, and every key has an owner again. */
const RECOVERY = 8_000;
const LEADERS = 4;

/** Runs a simulation in which several daemons have led, one after the other. */
function runLeaders(seed: number): RouterSimulation {
  const simulation = new RouterSimulation(seed);
  simulation.clock.runUntil(SETTLED);
  for (let count = 0; count < LEADERS; count += 1) {
    const leader = simulation.leader();
    if (leader !== undefined) {
      simulation.stopDaemon(leader, 100);
    }
    simulation.clock.runUntil(simulation.clock.now + SETTLED);
  }
  return simulation;
}

describe('a leader record that a daemon can not have written', () => {
  for (const term of [1e308, 2 ** 53, 2 ** 40, -1, 0.5]) {
    // Guards against keys without an owner because terms began anew below the term of the ownership table, or can't grow any more.
    it(`is replaced by a leader of a later term if it states the term ${term}`, () => {
      const simulation = runLeaders(1);
      const former = simulation.leader()?.state.leadership?.term ?? 0;
      const record = { term, daemon: 'x', life: 1, address: '10.9.9.9:1', beat: 0, settled: false };
      simulation.store.put('leader', { ...record, resigned: false });
      simulation.clock.runUntil(simulation.clock.now + RECOVERY);
      const current = simulation.leader()?.state.leadership?.term ?? 0;
      expect(former >= LEADERS).toEqual(true);
      expect(current > former && current < former + 10).toEqual(true);
      expect(simulation.unservedKeys()).toEqual([]);
      expect(simulation.checker.violations).toEqual([]);
    });
  }
});
