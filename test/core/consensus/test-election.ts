import { expect } from 'earl';
import { describe, it } from 'node:test';
import { getSystem } from '../../../src/emulator/systems.js';
import { createWorld } from '../../../src/simulation/run.js';

describe('planned stop of a shard leader', () => {
  it('transfers leadership to a follower immediately', () => {
    const world = createWorld(getSystem(), { seed: 5 });
    world.scheduler.runUntil(5_000);
    const leader = world.daemons.find((daemon) => daemon.state.leaderships.size > 0);
    leader?.dispatch({ kind: 'stopping' });
    world.scheduler.runUntil(5_030);
    const leaders = world.daemons.filter((daemon) => daemon.state.leaderships.size > 0);
    expect(leaders.length).toEqual(1);
    expect(leaders[0] === leader).toEqual(false);
  });

  it('keeps leadership when no other replica can renew the server leases', () => {
    const world = createWorld(getSystem(), { seed: 6 }, 1);
    world.scheduler.runUntil(5_000);
    const [only] = world.daemons;
    only?.dispatch({ kind: 'stopping' });
    world.scheduler.runUntil(7_000);
    expect(only?.state.leaderships.size).toEqual(1);
  });
});
