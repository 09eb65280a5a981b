import { expect } from 'earl';
import { describe, it } from 'node:test';
import { BackOffReports } from '../../../src/router/notices/back-off-reports.js';
import { type SimulatedDaemon, RouterSimulation } from '../support/router-simulation.js';

const SETTLING_TIME = 6_000;
const BACK_OFF = 3_000;

function ownsUnits(world: RouterSimulation, server: string): boolean {
  return (world.leader()?.state.ownershipView.units ?? []).some(({ owner }) => owner === server);
}

describe('owners of keys that ask for a back-off', () => {
  it('lose their keys when they ask more than one daemon', () => {
    const world = new RouterSimulation(3, 6, 5);
    world.clock.runUntil(SETTLING_TIME);
    const askedAt = world.clock.now;
    world.daemons.slice(0, 3).forEach((daemon) => {
      world.deliver(daemon, {
        kind: 'serverNoticed',
        server: 's2',
        notice: { leaving: false, rest: BACK_OFF },
      });
    });
    world.clock.runUntil(askedAt + 1_000);
    expect(ownsUnits(world, 's2')).toEqual(false);
    expect(world.unservedKeys()).toEqual([]);
    expect(world.checker.violations).toEqual([]);
  });

  it('keep their keys when they ask only one daemon, or when no other server is left', () => {
    const world = new RouterSimulation(3, 6, 2);
    world.clock.runUntil(SETTLING_TIME);
    const notice = { leaving: false, rest: BACK_OFF };
    world.deliver(world.daemons[0] as SimulatedDaemon, { kind: 'serverNoticed', server: 's2', notice });
    world.clock.runUntil(world.clock.now + 1_000);
    expect(ownsUnits(world, 's2')).toEqual(true);
    for (const daemon of world.daemons) {
      world.deliver(daemon, { kind: 'serverNoticed', server: 's1', notice });
      world.deliver(daemon, { kind: 'serverNoticed', server: 's2', notice });
    }
    world.clock.runUntil(world.clock.now + 1_000);
    expect(world.unservedKeys()).toEqual([]);
    expect(world.checker.violations).toEqual([]);
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
