import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  assignToLeastLoaded,
  planBalance,
  planDrain,
  UnitLoad,
  type PlacementServer,
} from '../../../src/core/ownership/placement.js';
import type { OwnershipRecord } from '../../../src/core/ownership/ownership-table.js';

function server(id: string, extra: Partial<PlacementServer> = {}): PlacementServer {
  return { id, weight: 1, eligible: true, draining: false, ...extra };
}

function records(counts: Record<string, number>): OwnershipRecord[] {
  let unit = 0;
  return Object.entries(counts).flatMap(([owner, count]) =>
    Array.from({ length: count }, () => ({ unit: unit++, server: owner, epoch: 1, target: null })),
  );
}

describe('placement', () => {
  it('distributes units by server weight', () => {
    const load = new UnitLoad([server('a'), server('b', { weight: 3 })], []);
    assignToLeastLoaded([1, 2, 3, 4, 5, 6, 7, 8], load);
    expect([load.countOf('a'), load.countOf('b')]).toEqual([2, 6]);
  });

  it('moves no unit within the tolerance, and no more units than needed beyond it', () => {
    const servers = [server('a'), server('b')];
    const balanced = records({ a: 11, b: 10 });
    expect(planBalance(balanced, new UnitLoad(servers, balanced), 10, 100)).toEqual([]);
    const unbalanced = records({ a: 30, b: 10 });
    const moves = planBalance(unbalanced, new UnitLoad(servers, unbalanced), 10, 100);
    expect(moves.length >= 8 && moves.length <= 10).toEqual(true);
    expect(new Set(moves.map((move) => move.unit)).size).toEqual(moves.length);
  });

  it('moves units only from draining servers, up to the limit, and never to a draining server', () => {
    const servers = [server('a', { draining: true, eligible: false }), server('b'), server('c')];
    const owned = records({ a: 6, b: 2, c: 2 });
    const moves = planDrain(owned, servers, new UnitLoad(servers, owned), 4);
    expect(moves.length).toEqual(4);
    expect(moves.every((move) => move.server !== 'a')).toEqual(true);
  });

  it('assigns no unit when no server is eligible', () => {
    expect(assignToLeastLoaded([1], new UnitLoad([server('a', { eligible: false })], []))).toEqual([]);
  });
});
