import { expect } from 'earl';
import { describe, it } from 'node:test';
import { getSystem } from '../../../src/emulator/systems.js';
import { createWorld } from '../../../src/simulation/run.js';
import type { World } from '../../../src/simulation/world.js';

function generations(world: World): Set<number> {
  return new Set(
    world.daemons.map((daemon) => daemon.state.tables.shards.get('rakstatus/0')?.generation ?? 0),
  );
}

function ownersOf(world: World): string[] {
  const table = world.daemons[0]?.state.tables.shards.get('rakstatus/0')?.table;
  return [...(table?.records.values() ?? [])].map((record) => `${record.unit} ${record.server}`).sort();
}

describe('recovery of a shard', () => {
  it('restores a shard from the store with the same owners after all daemons restarted at once', () => {
    const world = createWorld(getSystem(), { seed: 1 });
    world.scheduler.runUntil(6_000);
    const before = ownersOf(world);
    world.daemons.forEach((daemon) => daemon.crash());
    world.scheduler.runUntil(6_500);
    world.daemons.forEach((daemon) => daemon.restart());
    world.scheduler.runUntil(14_000);
    expect(generations(world)).toEqual(new Set([2]));
    expect(ownersOf(world)).toEqual(before);
    expect(world.history.violations).toEqual([]);
  });

  it("does not form a new generation while a replica may be alive, except on an operator's order", () => {
    const world = createWorld(getSystem(), { seed: 2 });
    world.scheduler.runUntil(6_000);
    const replicas = world.daemons.filter((daemon) => daemon.state.replicas.has('rakstatus/0'));
    replicas.slice(0, 2).forEach((daemon) => daemon.crash());
    world.scheduler.runUntil(6_100);
    replicas.slice(0, 2).forEach((daemon) => daemon.restart());
    world.scheduler.runUntil(14_000);
    expect(generations(world).has(2)).toEqual(false);
    const [daemon] = world.daemons;
    if (daemon !== undefined) {
      world.sendOperatorCommand(daemon, { action: 'recover', shard: 'rakstatus/0' });
    }
    world.scheduler.runUntil(20_000);
    expect(generations(world)).toEqual(new Set([2]));
    expect(world.history.violations).toEqual([]);
  });
});
