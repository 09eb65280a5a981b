import { expect } from 'earl';
import { describe, it } from 'node:test';
import { DoubtedUnits } from '../../../src/router/ownership/doubted-units.js';

describe('units whose owner turned a request away', () => {
  it('are left alone for a moment, under the fence that was turned away only', () => {
    const doubted = new DoubtedUnits();
    doubted.add(7, 1_000);
    expect(doubted.has(7, 1_100)).toEqual(true);
    expect(doubted.has(9, 1_100)).toEqual(false);
    expect(doubted.has(7, 1_200)).toEqual(false);
  });
});
