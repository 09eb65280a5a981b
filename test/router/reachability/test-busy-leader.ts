/** Guards against a leader that resigns because it is busy, and against one that does not resign because it is always busy. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { CheckConditions } from '../../../src/router/events.js';
import { isInconclusive } from '../../../src/router/reachability/check-conditions.js';
import { createDeployment, leaderOf, SETTLED, type Deployment } from '../support/settled-deployment.js';
import { IDLE_CONDITIONS } from '../support/simulated-server.js';

/** No server responds for this long, as observed at a busy leader with a full link. */
const CONGESTION = 900;
/** A leader that is always busy must hand over before the leases of its owners end, in milliseconds. */
const MAX_HANDOVER = 1_650;
/** The same for one that is not busy: the next leader needs the rest of the time to renew leases. */
const PROMPT_HANDOVER = 1_000;
const BUSY: readonly (readonly [string, CheckConditions])[] = [
  ['its event loop is late', { ...IDLE_CONDITIONS, loopDelay: 51 }],
  ['bytes for other daemons are unwritten', { ...IDLE_CONDITIONS, unwrittenBytes: 1 }],
  ['it has written much to other daemons', { ...IDLE_CONDITIONS, recentlyWrittenBytes: 125_001 }],
];

function countEvents({ simulation }: Deployment, name: string): number {
  return simulation.events.filter((line) => {
    const [at, , event] = line.split(' ');
    return Number(at) >= SETTLED && event === name;
  }).length;
}

describe('a check of a path that times out', () => {
  for (const [title, conditions] of BUSY) {
    it(`is inconclusive when ${title}`, () => {
      const check = { kind: 'pathChecked', checkId: 1, ...conditions } as const;
      expect(isInconclusive({ ...check, failure: 'timeout' }, 0)).toEqual(true);
      expect(isInconclusive({ ...check, failure: 'ECONNREFUSED' }, 0)).toEqual(false);
      expect(isInconclusive({ ...check, failure: null }, 0)).toEqual(false);
    });
  }

  it('is conclusive at a daemon that is not busy', () => {
    const conditions = { loopDelay: 50, unwrittenBytes: 0, recentlyWrittenBytes: 125_000 };
    const check = { kind: 'pathChecked', checkId: 1, failure: 'timeout', ...conditions } as const;
    expect(isInconclusive(check, 64)).toEqual(false);
  });

  // The calls to hundreds of units filled the leader's link, and it took its paths for lost four times in half a minute.
  it('is inconclusive when the leader has many unanswered calls', () => {
    const check = { kind: 'pathChecked', checkId: 1, failure: 'timeout', ...IDLE_CONDITIONS } as const;
    expect(isInconclusive(check, 65)).toEqual(true);
    expect(isInconclusive({ ...check, failure: null }, 65)).toEqual(false);
  });
});

describe('a busy leader that hears from no server', () => {
  for (const [title, conditions] of BUSY) {
    it(`goes on leading when ${title} and the servers respond again`, () => {
      const deployment = createDeployment(31);
      const { simulation, traffic } = deployment;
      const leader = leaderOf(simulation);
      leader.checkConditions = conditions;
      traffic.breakPaths([leader], simulation.servers, 'silent');
      simulation.clock.runUntil(SETTLED + CONGESTION);
      traffic.restorePaths([leader], simulation.servers);
      simulation.clock.runUntil(SETTLED + 5_000);
      expect(countEvents(deployment, 'path_lost')).toEqual(0);
      expect(countEvents(deployment, 'leadership_lost')).toEqual(0);
      expect(leaderOf(simulation) === leader).toEqual(true);
      expect(simulation.checker.violations).toEqual([]);
    });
  }

  // Output to a daemon that reads nothing stays unwritten: without a bound such a leader would never find its paths lost.
  it('hands over before the leases of its owners end when its paths are lost', () => {
    const deployment = createDeployment(32);
    const { simulation, traffic } = deployment;
    const leader = leaderOf(simulation);
    leader.checkConditions = { ...IDLE_CONDITIONS, unwrittenBytes: 1 };
    traffic.breakPaths([leader], simulation.servers, 'silent');
    simulation.clock.runUntil(SETTLED + MAX_HANDOVER);
    expect(leader.state.leadership).toEqual(null);
    expect(countEvents(deployment, 'leadership_lost')).toEqual(1);
  });

  // The calls that a lost path leaves unanswered made each check inconclusive, and a leader of 200 units handed over after 1.6 s.
  it('hands over at once when only its many unanswered calls could explain the silence', () => {
    const deployment = createDeployment(33, { keyedServers: 97, units: 436 });
    const { simulation, traffic } = deployment;
    const leader = leaderOf(simulation);
    traffic.breakPaths([leader], simulation.servers, 'silent');
    simulation.clock.runUntil(SETTLED + PROMPT_HANDOVER);
    expect(leader.state.leadership).toEqual(null);
  });
});
