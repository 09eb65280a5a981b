import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation } from '../support/router-simulation.js';

describe('a leader that is stopped as planned', () => {
  // Guards against a leader that resigns, reads its own resigned record, and claims the table again.
  it('does not lead again before its process ends', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const world = new RouterSimulation(seed);
      world.clock.runUntil(6_000);
      const leader = world.leader();
      if (leader === undefined) {
        throw new Error('no leader');
      }
      world.stopDaemon(leader, 3_000);
      const { name } = leader;
      world.clock.runUntil(9_000);
      const wonAgain = world.events.filter((line) => {
        const [at, daemon, event] = line.split(' ');
        return Number(at) > 6_000 && daemon === name && event === 'leadership_won';
      });
      expect(wonAgain).toEqual([]);
      expect(world.leader()?.name === name).toEqual(false);
    }
  });

  it('drops its candidacy', () => {
    const world = new RouterSimulation(1, 1);
    const [daemon] = world.daemons;
    if (daemon === undefined) {
      throw new Error('no daemon');
    }
    while (daemon.state.election.candidacy === null) {
      world.clock.runUntil(world.clock.now + 1);
    }
    world.stopDaemon(daemon, 3_000);
    world.clock.runUntil(world.clock.now + 2_900);
    expect(daemon.state.leadership).toEqual(null);
  });
});
