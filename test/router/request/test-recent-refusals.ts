/** Guards against callers that gain by returning before the time that they were told, and against taking others for such callers. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RecentRefusals } from '../../../src/router/request/recent-refusals.js';

describe('recent refusals', () => {
  it('tell the time of a caller that returns early, also when it is refused again', () => {
    const refusals = new RecentRefusals();
    refusals.record('a', 1_400, false, 1_000);
    refusals.record('a', 1_700, true, 1_100);
    expect(refusals.returnTime('a', 1_200)).toEqual(1_400);
    expect(refusals.returnTime('b', 1_200)).toEqual(null);
  });

  it('tell nothing of a caller that returns in time', () => {
    const refusals = new RecentRefusals();
    refusals.record('a', 1_400, false, 1_000);
    expect(refusals.returnTime('a', 1_400)).toEqual(null);
    expect(refusals.isEmpty(1_400)).toEqual(true);
  });

  // Callers of a popular page would be put behind others for refusals of each other.
  it('tell nothing of a request that several callers send', () => {
    const refusals = new RecentRefusals();
    refusals.record('a', 1_400, false, 1_000);
    refusals.record('a', 1_500, false, 1_010);
    expect(refusals.returnTime('a', 1_200)).toEqual(null);
  });

  it('are bounded', () => {
    const refusals = new RecentRefusals();
    for (let index = 0; index < 2_000; index += 1) {
      refusals.record(`${index}`, 5_000, false, 1_000);
    }
    expect(refusals.returnTime('0', 1_200)).toEqual(null);
    expect(refusals.returnTime('1999', 1_200)).toEqual(5_000);
  });
});
