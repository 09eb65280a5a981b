import { expect } from 'earl';
import { describe, it } from 'node:test';
import { WatchPacing } from '../../src/router-runtime/watch-pacing.js';

describe('the pause between watches', () => {
  // Without longer pauses, 33 servers that start one after the other cost each daemon 17 calls.
  it('grows while changes keep arriving, up to a bound', () => {
    const pacing = new WatchPacing();
    const pauses = [1, 2, 3, 4, 5].map(() => pacing.nextPause(10));
    expect(pauses[0] !== undefined && pauses[0] < 300).toEqual(true);
    expect(pauses[4]).toEqual(400);
  });

  it('is short again after a time without changes', () => {
    const pacing = new WatchPacing();
    for (let watch = 0; watch < 5; watch += 1) {
      pacing.nextPause(10);
    }
    expect(pacing.nextPause(3_000)).toEqual(150);
  });
});
