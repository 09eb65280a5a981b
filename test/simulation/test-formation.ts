import { expect } from 'earl';
import { describe, it } from 'node:test';
import { getSystem } from '../../src/emulator/systems.js';
import { createWorld } from '../../src/simulation/run.js';

describe('shard formation', () => {
  it('succeeds when the first messages between the replicas are lost', () => {
    for (const seed of [1, 2, 3]) {
      const world = createWorld(getSystem(), { seed });
      world.scheduler.runUntil(1_000);
      const heal = world.network.cut((from, to) => from.name !== 'store' && to.name !== 'store');
      world.scheduler.runUntil(2_000);
      heal();
      world.scheduler.runUntil(9_000);
      const leaders = world.daemons.filter((daemon) => daemon.state.leaderships.size > 0);
      expect(leaders.length).toEqual(1);
    }
  });
});
