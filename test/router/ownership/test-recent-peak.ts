import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RecentPeak } from '../../../src/router/ownership/recent-peak.js';

describe('the number of daemons that share a budget', () => {
  it('does not drop at once when daemons are disconnected, but drops after the memory time', () => {
    const peak = new RecentPeak(10_000, 1, 0);
    expect(peak.record(195, 1_000)).toEqual(195);
    expect(peak.record(120, 2_000)).toEqual(195);
    expect(peak.record(120, 10_900)).toEqual(195);
    expect(peak.record(120, 11_100)).toEqual(120);
  });
});
