import { expect } from 'earl';
import { describe, it } from 'node:test';
import { hasDemandRisen, hasFleetDemandRisen, isSurge } from '../../../src/router/load-view/demand-rise.js';

describe('a rise of demand', () => {
  it('is one to 1.5 times the reported demand', () => {
    expect(hasDemandRisen(15, 200, 10 / 200)).toEqual(true);
    expect(hasDemandRisen(13, 200, 10 / 200)).toEqual(false);
  });

  // Guards against an early report for each request of a daemon that gets few.
  it('is not a single request', () => {
    expect(hasDemandRisen(1, 200, 0)).toEqual(false);
    expect(hasDemandRisen(2, 200, 0)).toEqual(true);
  });

  // Guards against a surge that the leader sees in the scatter of a steady demand.
  it('counts as a surge at the leader only beyond chance', () => {
    expect(isSurge(60, 24)).toEqual(true);
    expect(isSurge(38, 24)).toEqual(false);
  });

  // Guards against early heartbeats for changes that nobody acts on.
  it('is sent down early only if it is large enough to act on', () => {
    expect(hasFleetDemandRisen(12.5, 10)).toEqual(true);
    expect(hasFleetDemandRisen(12, 10)).toEqual(false);
    expect(hasFleetDemandRisen(0.4, 0.1)).toEqual(false);
  });
});
