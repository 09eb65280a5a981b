import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';
import { childrenInTree } from '../../../src/core/dissemination/propagation-tree.js';

describe('propagation tree', () => {
  it('reaches every member exactly once within 5 steps, whichever member is the root', () => {
    const size = fc.integer({ min: 1, max: 600 });
    fc.assert(
      fc.property(size, fc.nat(), (count, start) => {
        const members = Array.from({ length: count }, (_, index) => `m-${index}`);
        const root = members[start % count] ?? '';
        const reached = [root];
        let steps = 0;
        for (let frontier = [root]; frontier.length > 0; steps += 1) {
          frontier = frontier.flatMap((member) => childrenInTree(members, root, member));
          reached.push(...frontier);
        }
        expect(reached.length).toEqual(count);
        expect(new Set(reached).size).toEqual(count);
        expect(steps <= 5).toEqual(true);
      }),
      { seed: 4, numRuns: 40 },
    );
  });
});
