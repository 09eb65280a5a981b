import { expect } from 'earl';
import { describe, it } from 'node:test';
import { notReadyReason } from '../../src/router/router-state.js';
import { type SimulatedDaemon, RouterSimulation } from './support/router-simulation.js';

const SETTLED_AT = 6_000;
const SUSPENSION_LENGTH = 4_000;
/** Runs at a rate of its own, as under a simulator that doesn't virtualize the boot-time clock. */
const UNRELATED_BOOT_CLOCK = (now: number): number => Math.floor((now * 1.7) / 10) * 10;
const CLOCKS = { 'advances meanwhile': undefined, 'does not': UNRELATED_BOOT_CLOCK };

function createSettledSimulation(bootClock?: (now: number) => number): {
  simulation: RouterSimulation;
  leader: SimulatedDaemon;
} {
  const simulation = new RouterSimulation(3, 5);
  simulation.bootClock = bootClock ?? simulation.bootClock;
  simulation.clock.runUntil(SETTLED_AT);
  const leader = simulation.leader();
  if (leader === undefined) {
    throw new Error('no daemon is the leader');
  }
  return { simulation, leader };
}

/** Suspends a machine with all links cut, so that no data waits in its sockets when it resumes. */
function beginSuspension(simulation: RouterSimulation, daemon: SimulatedDaemon): void {
  simulation.suspend(daemon, SUSPENSION_LENGTH);
  daemon.peersReachable = false;
  daemon.storeReachable = false;
}

function suspend(simulation: RouterSimulation, daemon: SimulatedDaemon): void {
  // Restored before the daemon resumes at the same time: its first call to the store would otherwise be lost.
  simulation.clock.schedule(SUSPENSION_LENGTH, () => {
    daemon.peersReachable = true;
    daemon.storeReachable = true;
  });
  beginSuspension(simulation, daemon);
  simulation.clock.runUntil(simulation.clock.now + SUSPENSION_LENGTH);
}

for (const [name, bootClock] of Object.entries(CLOCKS)) {
  describe(`a daemon whose machine was suspended, with a clock that ${name}`, () => {
    it('is not ready before it has received a message of the leader or an answer of the store', () => {
      const { simulation, leader } = createSettledSimulation(bootClock);
      for (const daemon of [
        leader,
        simulation.daemons.find((other) => other !== leader) as SimulatedDaemon,
      ]) {
        expect(notReadyReason(daemon.state)).toEqual(null);
        suspend(simulation, daemon);
        expect(notReadyReason(daemon.state)).not.toEqual(null);
        simulation.clock.runUntil(simulation.clock.now + 3_000);
        expect(notReadyReason(daemon.state)).toEqual(null);
      }
    });

    it('does not rely on a leadership that was confirmed before the suspension', () => {
      const { simulation, leader } = createSettledSimulation(bootClock);
      suspend(simulation, leader);
      expect(leader.state.leadership?.confirmedAt).toEqual(Number.NEGATIVE_INFINITY);
    });

    it('lists its watched feeds in the store again', () => {
      const { simulation } = createSettledSimulation(bootClock);
      const watcher = simulation.daemons.find(
        ({ state }) => state.followsStore && state.leadership === null,
      ) as SimulatedDaemon;
      suspend(simulation, watcher);
      expect(watcher.state.feeds.configuration.answeredAt).toEqual(Number.NEGATIVE_INFINITY);
      simulation.clock.runUntil(simulation.clock.now + 200);
      expect(watcher.state.feeds.configuration.answeredAt > 0).toEqual(true);
    });

    it('does not accept the result of a write sent before the suspension as a confirmation of its leadership', () => {
      const { simulation, leader } = createSettledSimulation(bootClock);
      const sentAt = leader.clock.now();
      beginSuspension(simulation, leader);
      // The store's response waits in the socket during the suspension.
      const outcome = { kind: 'written', revision: leader.state.leadership?.leaderRevision ?? 0 } as const;
      simulation.deliver(leader, { kind: 'objectWritten', object: 'leader', sentAt, outcome });
      simulation.clock.runUntil(simulation.clock.now + SUSPENSION_LENGTH);
      expect(leader.state.leadership?.confirmedAt).toEqual(Number.NEGATIVE_INFINITY);
    });

    it('logs and counts the suspension once', () => {
      const { simulation, leader } = createSettledSimulation(bootClock);
      suspend(simulation, leader);
      const lines = simulation.events.filter((line) => line.includes(`${leader.name} machine_resumed`));
      expect(lines.length).toEqual(1);
      expect(leader.state.counters.suspensions).toEqual(1);
    });
  });
}
