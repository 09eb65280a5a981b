import { expect } from 'earl';
import { describe, it } from 'node:test';
import { runScenario } from '../../src/simulation/run.js';
import { findScenario, singleFaultScenarios } from '../../src/simulation/scenarios.js';

/** Scenarios and seeds that violated a guarantee in the past. */
const PAST_FAILURES: readonly (readonly [string, number])[] = [
  ['one-way-cut', 2],
  ['leader-crash+network-bad', 6],
  ['store-down+network-bad', 6],
];

describe('guarantees in simulation', () => {
  for (const scenario of singleFaultScenarios()) {
    it(`hold under ${scenario.name} with two seeds`, () => {
      for (const seed of [101, 102]) {
        expect(runScenario({ scenario, seed }).violations).toEqual([]);
      }
    });
  }

  for (const system of ['klang-valley', 'gt-central']) {
    it(`hold for ${system} when the leader pauses and a server freezes`, () => {
      const scenario = findScenario('leader-pause+server-freeze');
      expect(scenario && runScenario({ scenario, seed: 7, system }).violations).toEqual([]);
    });
  }

  for (const name of [
    'two-sides+side-cut',
    'two-sides+leader-crash',
    'two-sides+network-bad',
    'two-sides+configuration-burst',
  ]) {
    it(`hold under ${name} during continuous hand-overs in both directions`, () => {
      const scenario = findScenario(name);
      expect(scenario && runScenario({ scenario, seed: 103 }).violations).toEqual([]);
    });
  }

  for (const [name, seed] of PAST_FAILURES) {
    it(`hold under ${name} with seed ${seed}, which once violated a guarantee`, () => {
      const scenario = findScenario(name);
      expect(scenario && runScenario({ scenario, seed }).violations).toEqual([]);
    });
  }

  it('are checked in deterministic runs: the same seed gives the same run', () => {
    const run = { scenario: { name: 'mixed', faults: ['partition', 'server-crash'] as const }, seed: 11 };
    const [one, two] = [runScenario(run), runScenario(run)];
    expect(one.events).toEqual(two.events);
    expect(one.calls).toEqual(two.calls);
  });
});
