/** Guards against leases that end after a change of leader because the machine of the new leader is slow. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import {
  createDeployment,
  daemonsInOrder,
  type Deployment,
  leaderOf,
  longestUnheldTimeUntil,
  SETTLED,
} from '../support/settled-deployment.js';
import type { ProcessorTime } from '../support/simulated-machine.js';

const KEYED_SERVERS = 97;
const ZONES = ['z0', 'z1', 'z2', 'z3'];
/** Time in milliseconds between two requests of one route at all daemons together. */
const REQUEST_INTERVAL = 6;
const OBSERVED = 8_000;
/** Daemons that are connected know within this time what the others have observed. */
const CONTACT = 3_000;
const MIN_SERVED = 0.97;
/** Processor time in milliseconds that a new child of the leader takes: a connection, the list of servers and the view of ownership. */
const JOIN_TIME = 40;
/** Longest time in milliseconds for which a key may have no owner, as in a planned move. */
const LONGEST_UNHELD = 400;
/**
 * Daemons, units, and the processor time in milliseconds that a machine needs for one control call, a quarter of it for the response.
 * Renewals take half of the processor in each case.
 */
const CASES: readonly (readonly [number, number, number, string])[] = [
  [11, 213, 2, 'renews 213 units in time at 11 daemons'],
  [11, 436, 1, 'renews 436 units in time at 11 daemons'],
  [11, 870, 0.5, 'renews 870 units in time at 11 daemons'],
  [87, 213, 2, 'renews 213 units in time at 87 daemons'],
  [87, 436, 1, 'renews 436 units in time at 87 daemons'],
  [87, 870, 0.5, 'renews 870 units in time at 87 daemons'],
];

/** Returns the processor time of a machine that needs the given time for a control call. */
function processorTime(callTime: number): ProcessorTime {
  const eventTimes: Partial<Record<RouterEvent['kind'], number>> = {
    controlEnded: callTime / 4,
    peerMessage: 0.5,
    requestArrived: 1,
    tick: 0.2,
  };
  const effectTime = (effect: Effect): number => {
    if (effect.kind === 'control') {
      return (callTime * 3) / 4;
    }
    const isJoin = effect.kind === 'log' && effect.event === 'child_joined';
    return isJoin ? JOIN_TIME : 0;
  };
  return (event, effects) =>
    effects.reduce((sum, effect) => sum + effectTime(effect), eventTimes[event.kind] ?? 0);
}

/** Creates a deployment whose followers have slow machines. */
function createSlowDeployment(daemons: number, units: number, callTime: number): Deployment {
  const deployment = createDeployment(41, {
    daemons,
    zones: ZONES,
    interval: REQUEST_INTERVAL * daemons,
    keyedServers: KEYED_SERVERS,
    units,
  });
  const [, ...followers] = daemonsInOrder(deployment.simulation, true);
  for (const { machine } of followers) {
    machine.processorTime = processorTime(callTime);
  }
  return deployment;
}

function countSilentServers({ simulation }: Deployment): number {
  return simulation.events.filter((line) => line.includes(' server_silent ')).length;
}

describe('a leader on a slow machine that takes over from one without a path', () => {
  for (const [daemons, units, callTime, title] of CASES) {
    // Sent all renewals in one go. Those that its processor had not written within their time-out were never sent, and servers that were
    // well counted as silent; from then on no key had an owner.
    it(title, () => {
      const deployment = createSlowDeployment(daemons, units, callTime);
      const { simulation, traffic } = deployment;
      const former = leaderOf(simulation);
      const cut = daemonsInOrder(simulation, true).filter((_, index) => index % 2 === 0);
      traffic.breakPaths(cut, simulation.servers, 'reset');
      const longest = longestUnheldTimeUntil(simulation, SETTLED + OBSERVED);
      expect(leaderOf(simulation) === former).toEqual(false);
      expect([longest <= LONGEST_UNHELD, countSilentServers(deployment)]).toEqual([true, 0]);
      expect(simulation.checker.violations).toEqual([]);
    });
  }
});

describe('callers of daemons that have lost their paths together with the leader', () => {
  // The next leader was busy with new children for seconds, and daemons without a parent knew no proxy after two.
  it('are served at 87 daemons when a slow machine leads next', () => {
    const { simulation, traffic, requests } = createSlowDeployment(87, 213, 2);
    const cut = daemonsInOrder(simulation, true).filter((_, index) => index % 2 === 0);
    traffic.breakPaths(cut, simulation.servers, 'reset');
    simulation.clock.runUntil(SETTLED + OBSERVED);
    const until = SETTLED + OBSERVED - 1_000;
    const others = simulation.daemons.filter((daemon) => !cut.includes(daemon));
    expect(requests.servedShare(cut, SETTLED + CONTACT, until) >= MIN_SERVED).toEqual(true);
    expect(requests.servedShare(others, SETTLED, until) >= MIN_SERVED).toEqual(true);
  });
});
