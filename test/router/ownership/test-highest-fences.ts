import { expect } from 'earl';
import { describe, it } from 'node:test';
import { allocateFences, withUnits, type Unit } from '../../../src/router/ownership/ownership-table.js';
import { parseLeaderRecord } from '../../../src/router/ownership/stored-objects.js';
import { MAX_TERM, readOwnershipRecord } from '../../../src/router/ownership/stored-table.js';

const MAX_FENCE = 2 ** 52;
const unit: Unit = { service: 'k', from: 0, to: 65_535, owner: 'i-1', fence: 5, releasing: null };

describe('a stored object of another writer with the highest number that can be read', () => {
  // A leader allocates a fence above it, which the next leader can't read: the owner is unknown then, and fences go back.
  it('leaves the next fences readable', () => {
    const stored = { term: 1, nextFence: MAX_FENCE, units: [unit], unconfirmedReleases: [] };
    const { table, fence } = allocateFences(readOwnershipRecord({ writeId: 'a', table: stored }).table);
    const moved = withUnits(table, [{ ...unit, owner: 'i-2', fence }]);
    const { table: read } = readOwnershipRecord({ writeId: 'b', table: moved });
    expect(read.units.map(({ owner }) => owner)).toEqual(['i-2']);
    expect(read.nextFence > fence).toEqual(true);
  });

  // The next leader's term is above it. No daemon can read its record then, and none waits for the end of its leadership.
  it('leaves the record of the next leader readable', () => {
    const record = { term: MAX_TERM, daemon: 'd', life: 1, address: '127.0.0.1:1', beat: 1 };
    const former = parseLeaderRecord({ ...record, settled: true, resigned: false });
    const next = { ...record, term: (former?.term ?? 0) + 1, settled: true, resigned: false };
    expect(parseLeaderRecord(next)?.term).toEqual(next.term);
  });
});
