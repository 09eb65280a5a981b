/** What decisions cost in steps, for numbers from outside of any size. */
import { expect } from 'earl';
import { after, describe, it } from 'node:test';
import { expectedQueuedRounds } from '../../src/router/request/load-estimate.js';
import { StepCounter } from '../support/counted-steps.js';

const counter = new StepCounter();

describe('the estimate of the wait at a server', () => {
  after(() => counter.stop());

  // Guards against a choice of a server that takes as long as the number of slots in its entry is large.
  it('takes as many steps for a million slots as for a hundred', () => {
    const [few, many] = [100, 1_000_000].map((slots) =>
      counter.count(() => void expectedQueuedRounds(slots, 0, 3)),
    ) as [number, number];
    expect(few > 0).toEqual(true);
    expect(many).toEqual(few);
  });
});
