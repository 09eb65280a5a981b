import { expect } from 'earl';
import { describe, it } from 'node:test';
import { PROGRAM } from './daemon-process.js';
import { runSoak } from './soak.js';

/** Two that broke promises before the age of news was bounded; at the same time, each with five daemons as processes. */
const SEEDS = [3, 6, 9];
/** Beside its troubles, servers end under requests that come again and again, and pauses are suspensions. */
const HARSH_SEED = 9;
const LENGTH = 20_000;

// What tests lacked when changes came into force 14 s late: the real daemons, a store that does not answer, and changes that go on.
describe('a short soak of daemons as processes', () => {
  it('keeps every promise under troubles that overlap', async () => {
    const options = { daemons: 5, servers: 4, program: PROGRAM, length: LENGTH };
    const runs = SEEDS.map((seed) => runSoak({ ...options, seed, isHarsh: seed === HARSH_SEED }));
    for (const report of await Promise.all(runs)) {
      expect(report.violations).toEqual([]);
      expect(report.answered > 0).toEqual(true);
      expect(report.serverEnds > 0).toEqual(report.seed === HARSH_SEED);
    }
  });
});
