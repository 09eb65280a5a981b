import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RouterSimulation } from '../support/router-simulation.js';

describe('a leader that is stopped as planned', () => {
  // Guards against a leader that resigns, reads its own resigned record, and claims the table again.
  it('does not lead again before its process ends', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const simulation = new RouterSimulation(seed);
      simulation.clock.runUntil(6_000);
      const leader = simulation.leader();
      if (leader === undefined) {
        throw new Error('no leader');
      }
      simulation.stopDaemon(leader, 3_000);
      const { name } = leader;
      simulation.clock.runUntil(9_000);
      const wonAgain = simulation.events.filter((line) => {
        const [at, daemon, event] = line.split(' ');
        return Number(at) > 6_000 && daemon === name && event === 'leadership_won';
      });
      expect(wonAgain).toEqual([]);
      expect(simulation.leader()?.name === name).toEqual(false);
    }
  });

  it('drops its candidacy', () => {
    const simulation = new RouterSimulation(1, 1);
    const [daemon] = simulation.daemons;
    if (daemon === undefined) {
      throw new Error('no daemon');
    }
    while (daemon.state.election.candidacy === null) {
      simulation.clock.runUntil(simulation.clock.now + 1);
    }
    simulation.stopDaemon(daemon, 3_000);
    simulation.clock.runUntil(simulation.clock.now + 2_900);
    expect(daemon.state.leadership).toEqual(null);
  });
});
