import { expect } from 'earl';
import { describe, it } from 'node:test';
import { measureBaseline } from '../../src/simulation/baselines.js';
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

describe('the policy against simpler ones, when one of 14 servers is lost', () => {
  const servers = Array.from({ length: 14 }, (_, index) => `server-${index}`);
  const own = measureLoss('server', 1);

  it('moves far fewer units than modulo hashing', () => {
    const modulo = measureBaseline('modulo', 256, servers);
    expect(modulo.needlessChanges > 200).toEqual(true);
    expect(own.needlessChanges).toEqual(0);
  });

  it('is more even than rendezvous hashing, which moves no more than needed either', () => {
    const rendezvous = measureBaseline('rendezvous', 256, servers);
    expect(rendezvous.needlessChanges).toEqual(0);
    expect(own.imbalance < rendezvous.imbalance).toEqual(true);
  });
});
