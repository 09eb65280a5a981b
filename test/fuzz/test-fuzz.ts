import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { ALL_PROPERTIES } from './all-properties.js';

const SEED = 1;

describe('any input from outside', () => {
  for (const { name, build, buildWithPlantedFault, shortRuns } of ALL_PROPERTIES) {
    // Guards against input that ends or holds up a daemon, or passes for what it is not.
    it(name, async () => {
      await fc.assert(build(), { seed: SEED, numRuns: shortRuns });
    });

    // A property that finds no fault at all would hold for any code.
    it(`${name}: a planted fault is found`, async () => {
      const { failed } = await fc.check(buildWithPlantedFault(), { seed: SEED, numRuns: shortRuns });
      expect(failed).toEqual(true);
    });
  }
});
