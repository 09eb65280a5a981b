/**
 * Guards against a table that hot ranges cut into more and more units, each of which needs calls: before units were rejoined and merged during
 * changes, this load led to 6.1 units for each of 83 owners in the mean and 646 calls a second.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { planService } from '../../../src/router/ownership/assignment-plan.js';
import { mergeAdjacentUnits } from '../../../src/router/ownership/ownership-table.js';
import { replay, type Planner, type ReplayResult } from '../support/plan-replay.js';

const SEEDS = [1, 2, 3, 4];
const MAX_MEAN_UNITS = 3;
const MAX_CALL_RATE = 400;
/** With 6.1 units for each owner: 0.97 and 0.98. */
const MAX_MEAN_PEAK = 1.02;

/** Plans as the leader does, with all units held by their owners. */
const plan: Planner = (table, input) => {
  const planned = planService(table, input);
  if (planned === table && !input.isRejoiningDue) {
    return table;
  }
  const held = new Set(table.units);
  return mergeAdjacentUnits(planned, (unit) => held.has(unit));
};

function meanOf(results: readonly ReplayResult[]): ReplayResult {
  const names = Object.keys(results[0] as ReplayResult) as (keyof ReplayResult)[];
  const means = names.map((name) => {
    const sum = results.reduce((total, result) => total + result[name], 0);
    return [name, sum / results.length] as const;
  });
  return Object.fromEntries(means) as unknown as ReplayResult;
}

describe('the plan under hot ranges that change', () => {
  for (const areHotKeysAdjacent of [true, false]) {
    it(`keeps few units and relieves busy owners, with hot keys that are ${areHotKeysAdjacent ? 'adjacent' : 'scattered'}`, (test) => {
      const result = meanOf(SEEDS.map((seed) => replay(plan, { seed, areHotKeysAdjacent })));
      const figures = Object.entries(result).map(([name, value]) => `${name} ${value.toFixed(2)}`);
      test.diagnostic(figures.join(', '));
      expect(result.meanUnits <= MAX_MEAN_UNITS).toEqual(true);
      expect(result.callRate <= MAX_CALL_RATE).toEqual(true);
      expect(result.meanPeakUtilisation <= MAX_MEAN_PEAK).toEqual(true);
    });
  }
});
