import { expect } from 'earl';
import { describe, it } from 'node:test';
import { PROGRAM } from './daemon-process.js';
import { runSoak } from './soak.js';

/** Two that broke promises before the age of news was bounded; at the same time, each with five daemons as processes. */
const SEEDS = [3, 6];
/** Beside its troubles, servers end under requests that come again and again, and pauses are suspensions. */
const HARSH_SEED = 9;
/** Servers say of themselves that they leave and want rest. */
const NOTICES_SEED = 4;
/** Servers name limits for all daemons together. */
const LIMITS_SEED = 2;
/** Callers leave, and daemons stand still again and again. */
const LEAVING_SEED = 1;
const OPTIONS = { daemons: 5, servers: 4, program: PROGRAM, length: 20_000 };

// What tests lacked when changes came into force 14 s late: the real daemons, a store that does not answer, and changes that go on.
describe('a short soak of daemons as processes', { concurrency: true }, () => {
  it('keeps every promise under troubles that overlap', async () => {
    const runs = SEEDS.map((seed) =>
      runSoak({ ...OPTIONS, seed, isHarsh: false, hasNotices: false, hasLimits: false, hasLeaving: false }),
    );
    for (const report of await Promise.all(runs)) {
      expect(report.violations).toEqual([]);
      expect(report.answered > 0).toEqual(true);
    }
  });

  it('keeps every promise while servers end under requests and machines are suspended', async () => {
    const report = await runSoak({
      ...OPTIONS,
      seed: HARSH_SEED,
      isHarsh: true,
      hasNotices: false,
      hasLimits: false,
      hasLeaving: false,
    });
    expect(report.violations).toEqual([]);
    expect(report.answered > 0).toEqual(true);
    expect(report.serverEnds > 0).toEqual(true);
  });

  it('keeps what it owes to servers that leave, rest and come back under their id, beside odd entries', async () => {
    const report = await runSoak({
      ...OPTIONS,
      seed: NOTICES_SEED,
      isHarsh: false,
      hasNotices: true,
      hasLimits: false,
      hasLeaving: false,
    });
    expect(report.violations).toEqual([]);
    expect(report.answered > 0).toEqual(true);
  });

  it('sends nothing on for callers that have left, while daemons stand still again and again', async () => {
    const report = await runSoak({
      ...OPTIONS,
      seed: LEAVING_SEED,
      isHarsh: false,
      hasNotices: false,
      hasLimits: false,
      hasLeaving: true,
    });
    expect(report.violations).toEqual([]);
    expect(report.answered > 0).toEqual(true);
  });

  it('holds servers to the limits that they name', async () => {
    const report = await runSoak({
      ...OPTIONS,
      seed: LIMITS_SEED,
      isHarsh: false,
      hasNotices: false,
      hasLimits: true,
      hasLeaving: false,
    });
    expect(report.violations).toEqual([]);
    expect(report.answered > 0).toEqual(true);
  });
});
