import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { StoredObjectName } from '../../../src/router/events.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState } from '../../../src/router/router-state.js';
import { BOUNDS } from '../support/bounds.js';
import { toAddress } from '../../support/addresses.js';

const OUTAGE = 5_000;
const TICK = 20;

/**
 * Returns how often a daemon without a leader reads each object while the store refuses every request at
 * once.
 */
function readsInOutage(): Record<StoredObjectName, number> {
  const state = createRouterState(
    { daemon: 'd', zone: 'z', peerAddress: toAddress('10.0.0.9:1'), life: 1 },
    BOUNDS,
    1,
  );
  const reads = { leader: 0, ownership: 0, quarantines: 0 };
  for (let now = 0; now < OUTAGE; now += TICK) {
    for (const effect of reduce(state, now, { kind: 'tick' })) {
      if (effect.kind === 'readObject') {
        reads[effect.object] += 1;
        const outcome = { kind: 'failed', reason: 'status 503' } as const;
        reduce(state, now, { kind: 'objectRead', object: effect.object, sentAt: now, outcome });
      }
    }
  }
  return reads;
}

describe('a daemon without a leader', () => {
  // At a fixed interval, 20 daemons sent 480 requests in 5 s to a store that refused every one, and each
  // request is paid for.
  it('reads a store that refuses requests at growing intervals', () => {
    const { leader, ownership, quarantines } = readsInOutage();
    expect(leader <= 8 && leader >= 4).toEqual(true);
    expect(ownership <= 1).toEqual(true);
    expect(quarantines).toEqual(0);
  });
});
