import { expect } from 'earl';
import { describe, it } from 'node:test';
import { BackOffReports } from '../../../src/router/notices/back-off-reports.js';
import { type SimulatedDaemon, RouterSimulation } from '../support/router-simulation.js';

const SETTLING_TIME = 6_000;
const BACK_OFF = 3_000;

function ownsUnits(simulation: RouterSimulation, server: string): boolean {
  return (simulation.leader()?.state.ownershipView.units ?? []).some(({ owner }) => owner === server);
}

describe('owners of keys that ask for a back-off', () => {
  it('lose their keys when they ask more than one daemon', () => {
    const simulation = new RouterSimulation(3, 6, 5);
    simulation.clock.runUntil(SETTLING_TIME);
    const askedAt = simulation.clock.now;
    simulation.daemons.slice(0, 3).forEach((daemon) => {
      simulation.deliver(daemon, {
        kind: 'serverNoticed',
        server: 's2',
        notice: { leaving: false, rest: BACK_OFF },
      });
    });
    simulation.clock.runUntil(askedAt + 1_000);
    expect(ownsUnits(simulation, 's2')).toEqual(false);
    expect(simulation.unservedKeys()).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
  });

  it('keep their keys when they ask only one daemon, or when no other server is left', () => {
    const simulation = new RouterSimulation(3, 6, 2);
    simulation.clock.runUntil(SETTLING_TIME);
    const notice = { leaving: false, rest: BACK_OFF };
    simulation.deliver(simulation.daemons[0] as SimulatedDaemon, {
      kind: 'serverNoticed',
      server: 's2',
      notice,
    });
    simulation.clock.runUntil(simulation.clock.now + 1_000);
    expect(ownsUnits(simulation, 's2')).toEqual(true);
    for (const daemon of simulation.daemons) {
      simulation.deliver(daemon, { kind: 'serverNoticed', server: 's1', notice });
      simulation.deliver(daemon, { kind: 'serverNoticed', server: 's2', notice });
    }
    simulation.clock.runUntil(simulation.clock.now + 1_000);
    expect(simulation.unservedKeys()).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
  });

  it('are given no keys for twice the back-off, and are not affected by a short one', () => {
    const reports = new BackOffReports();
    reports.add({ server: 's1', daemon: 'd1', left: BACK_OFF }, 0);
    expect(reports.isInBackOff('s1', 5, 10)).toEqual(false);
    expect(reports.isInBackOff('s1', 1, 10)).toEqual(true);
    reports.add({ server: 's1', daemon: 'd2', left: 500 }, 10);
    expect(reports.isInBackOff('s1', 5, 20)).toEqual(false);
    reports.add({ server: 's1', daemon: 'd2', left: BACK_OFF }, 20);
    expect(reports.isInBackOff('s1', 5, 30)).toEqual(true);
    expect(reports.isInBackOff('s1', 5, 2 * BACK_OFF + 10)).toEqual(false);
  });
});
