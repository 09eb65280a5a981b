import { expect } from 'earl';
import { describe, it } from 'node:test';
import { measureBaseline } from '../../src/simulation/baselines.js';
import { LOSSES, measureLoss } from '../../src/simulation/figures.js';

/** Maximum time for which a unit may be unavailable after a loss, in milliseconds. */
const MAX_OUTAGE_MILLISECONDS = 2_000;
const SEEDS = 5;

describe('cost of a loss', () => {
  for (const loss of LOSSES) {
    it(`${loss}: recovers within 2 s, at most 5% needless moves, stays balanced`, () => {
      const figures = measureLoss(loss, SEEDS);
      expect(figures.longestOutage <= MAX_OUTAGE_MILLISECONDS).toEqual(true);
      expect(figures.needlessChanges <= 0.05 * figures.ownerChanges).toEqual(true);
      expect(figures.imbalance <= 1.25).toEqual(true);
    });
  }
});

describe('placement policy compared with simpler policies when one of 14 servers is lost', () => {
  const servers = Array.from({ length: 14 }, (_, index) => `server-${index}`);
  const own = measureLoss('server', 1);

  it('moves far fewer units than modulo hashing', () => {
    const modulo = measureBaseline('modulo', 256, servers);
    expect(modulo.needlessChanges > 200).toEqual(true);
    expect(own.needlessChanges).toEqual(0);
  });

  it('balances better than rendezvous hashing, which makes no needless moves either', () => {
    const rendezvous = measureBaseline('rendezvous', 256, servers);
    expect(rendezvous.needlessChanges).toEqual(0);
    expect(own.imbalance < rendezvous.imbalance).toEqual(true);
  });
});
