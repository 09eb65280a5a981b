import { expect } from 'earl';
import { describe, it } from 'node:test';
import { MUTATIONS } from '../../src/simulation/mutations.js';
import { runScenario } from '../../src/simulation/run.js';

describe('checkers', () => {
  for (const { name, rules, faults, seeds, twoSides = false } of MUTATIONS) {
    it(`detect the planted bug ${name} within ${seeds} seeds`, () => {
      const scenario = { name, faults, twoSides };
      let detected = false;
      for (let seed = 1; seed <= seeds && !detected; seed += 1) {
        const broken = runScenario({ scenario, seed, rules }).violations.length > 0;
        detected = broken && runScenario({ scenario, seed }).violations.length === 0;
      }
      expect(detected).toEqual(true);
    });
  }
});
