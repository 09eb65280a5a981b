import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../src/core/random.js';
import { tolerance } from './rush.js';
import { SlotQueue } from './slot-queue.js';

const SEED = 7;
const REQUESTS = 600;
const COMPARISONS = 2_000;

describe('the tolerance of the comparison of two routes', () => {
  const random = new SeededRandom(SEED);
  const observe = (rate: number): number => {
    let served = 0;
    for (let index = 0; index < REQUESTS; index += 1) {
      served += random.fraction() < rate ? 1 : 0;
    }
    return served / REQUESTS;
  };
  const countFailures = (urgentRate: number, otherRate: number): number => {
    let failures = 0;
    for (let index = 0; index < COMPARISONS; index += 1) {
      const urgent = observe(urgentRate);
      const other = observe(otherRate);
      failures += urgent < other - tolerance(urgent, REQUESTS, other, REQUESTS) ? 1 : 0;
    }
    return failures;
  };

  // Guards against a check that fails by chance, and against one that passes whatever happens.
  it('is rarely exceeded by chance, and always by the difference that the deployment saw', () => {
    expect(countFailures(0.8, 0.8) <= 6).toEqual(true);
    expect(countFailures(0.67, 0.83) >= COMPARISONS * 0.99).toEqual(true);
  });
});

describe('the slots of a fake server', () => {
  it('are taken in the order of arrival, and work beyond the waiting places is rejected', () => {
    const queue = new SlotQueue(1);
    const started: number[] = [];
    const ends: (() => void)[] = [];
    const add = (id: number): boolean =>
      queue.add((done) => {
        started.push(id);
        ends.push(done);
      });
    const accepted = [1, 2, 3, 4, 5, 6].map(add);
    expect(accepted).toEqual([true, true, true, true, true, false]);
    expect(queue.report).toEqual('1,4,1');
    ends[0]?.();
    expect(started).toEqual([1, 2]);
    expect(queue.report).toEqual('1,3,1');
  });
});
