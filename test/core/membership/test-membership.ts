import { expect } from 'earl';
import { describe, it } from 'node:test';
import { aliveMembers } from '../../../src/core/membership/membership.js';
import { getSystem } from '../../../src/emulator/systems.js';
import { createWorld } from '../../../src/simulation/run.js';
import type { World } from '../../../src/simulation/world.js';

/** The number of alive members that each daemon knows. */
function aliveMemberCounts(world: World): number[] {
  return world.daemons.map((daemon) => aliveMembers(daemon.state.membership).length);
}

describe('membership', () => {
  it('is complete on every daemon after 60 daemons join at once over a network that drops messages', () => {
    const world = createWorld(getSystem(), { seed: 1 }, 60);
    world.network.lossProbability = 0.3;
    world.scheduler.runUntil(2_000);
    world.network.lossProbability = 0;
    world.scheduler.runUntil(25_000);
    expect(new Set(aliveMemberCounts(world))).toEqual(new Set([60]));
  });

  it('declares a crashed daemon dead and adds its next incarnation', () => {
    const world = createWorld(getSystem(), { seed: 2 });
    world.scheduler.runUntil(3_000);
    const [crashed] = world.daemons;
    crashed?.crash();
    world.scheduler.runUntil(15_000);
    expect(aliveMemberCounts(world).slice(1)).toEqual([4, 4, 4, 4]);
    crashed?.restart();
    world.scheduler.runUntil(20_000);
    expect(aliveMemberCounts(world)).toEqual([5, 5, 5, 5, 5]);
  });

  it('merges after a partition in which each part declared the other dead', () => {
    const world = createWorld(getSystem(), { seed: 3 });
    world.scheduler.runUntil(3_000);
    const firstPart = new Set(world.daemons.slice(0, 2).map((daemon) => daemon.id));
    const heal = world.network.cut((from, to) => firstPart.has(from.name) !== firstPart.has(to.name));
    world.scheduler.runUntil(20_000);
    expect(aliveMemberCounts(world)).toEqual([2, 2, 3, 3, 3]);
    heal();
    world.scheduler.runUntil(40_000);
    expect(aliveMemberCounts(world)).toEqual([5, 5, 5, 5, 5]);
  });
});
