import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RecentlyRejectedUnits } from '../../../src/router/ownership/recently-rejected-units.js';

describe('units whose owner rejected a request', () => {
  it('are avoided for a short time, and only under the rejected fence', () => {
    const rejected = new RecentlyRejectedUnits();
    rejected.add(7, 1_000);
    expect(rejected.has(7, 1_100)).toEqual(true);
    expect(rejected.has(9, 1_100)).toEqual(false);
    expect(rejected.has(7, 1_200)).toEqual(false);
  });
});
