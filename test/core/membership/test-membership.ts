import { expect } from 'earl';
import { describe, it } from 'node:test';
import { aliveMembers } from '../../../src/core/membership/membership.js';
import { systemNamed } from '../../../src/emulator/systems.js';
import { createWorld } from '../../../src/simulation/run.js';
import type { World } from '../../../src/simulation/world.js';

function knownBy(world: World): number[] {
  return world.daemons.map((daemon) => aliveMembers(daemon.state.membership).length);
}

describe('membership', () => {
  it('is complete on every daemon although many join at once over a bad network', () => {
    const world = createWorld(systemNamed(), { seed: 1 }, 60);
    world.network.lossShare = 0.3;
    world.scheduler.runUntil(2_000);
    world.network.lossShare = 0;
    world.scheduler.runUntil(25_000);
    expect(new Set(knownBy(world))).toEqual(new Set([60]));
  });

  it('declares a lost daemon dead and takes its next life in', () => {
    const world = createWorld(systemNamed(), { seed: 2 });
    world.scheduler.runUntil(3_000);
    const [lost] = world.daemons;
    lost?.crash();
    world.scheduler.runUntil(15_000);
    expect(knownBy(world).slice(1)).toEqual([4, 4, 4, 4]);
    lost?.restart();
    world.scheduler.runUntil(20_000);
    expect(knownBy(world)).toEqual([5, 5, 5, 5, 5]);
  });

  it('joins up again after a partition in which each side took the other for dead', () => {
    const world = createWorld(systemNamed(), { seed: 3 });
    world.scheduler.runUntil(3_000);
    const left = new Set(world.daemons.slice(0, 2).map((daemon) => daemon.id));
    const heal = world.network.cut((from, to) => left.has(from.name) !== left.has(to.name));
    world.scheduler.runUntil(20_000);
    expect(knownBy(world)).toEqual([2, 2, 3, 3, 3]);
    heal();
    world.scheduler.runUntil(40_000);
    expect(knownBy(world)).toEqual([5, 5, 5, 5, 5]);
  });
});
