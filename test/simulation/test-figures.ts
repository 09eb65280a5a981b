import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LOSSES, measureLoss } from '../../src/simulation/figures.js';

/** Served again within this time of a loss: the users' target. */
const SERVED_AGAIN_WITHIN = 2_000;
const SEEDS = 5;

describe('figures of a loss', () => {
  for (const loss of LOSSES) {
    it(`${loss}: served again in time, no needless moves beyond 5%, balanced`, () => {
      const figures = measureLoss(loss, SEEDS);
      expect(figures.longestOutage <= SERVED_AGAIN_WITHIN).toEqual(true);
      expect(figures.needlessChanges <= 0.05 * figures.ownerChanges).toEqual(true);
      expect(figures.imbalance <= 1.25).toEqual(true);
    });
  }
});
