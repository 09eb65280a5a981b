/** Guards against a tree that dissolves when another daemon becomes the leader, which then has all daemons as new children at once. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  createDeployment,
  daemonsInOrder,
  type Deployment,
  leaderOf,
  SETTLED,
} from '../support/settled-deployment.js';

const ZONES = ['z0', 'z1', 'z2', 'z3'];
const REQUEST_INTERVAL = 6;
const TAKEOVER = 5_000;

type LoseLeader = (deployment: Deployment) => void;

function cutLeaderAndOthers({ simulation, traffic }: Deployment): void {
  const cut = daemonsInOrder(simulation, true).filter((_, index) => index % 2 === 0);
  traffic.breakPaths(cut, simulation.servers, 'reset');
}

function stopLeader({ simulation }: Deployment): void {
  simulation.stopDaemon(leaderOf(simulation), 2_000);
}

function killLeader({ simulation }: Deployment): void {
  leaderOf(simulation).alive = false;
}

function freezeLeader({ simulation }: Deployment): void {
  simulation.suspend(leaderOf(simulation), TAKEOVER);
}

const CASES: readonly (readonly [number, LoseLeader, string])[] = [
  [40, cutLeaderAndOthers, 'keep their relays when the leader of 40 resigns without a path'],
  [40, stopLeader, 'keep their relays when the leader of 40 stops as planned'],
  [40, killLeader, 'keep their relays when the leader of 40 is killed'],
  [40, freezeLeader, 'keep their relays when the leader of 40 is frozen'],
  [87, cutLeaderAndOthers, 'keep their relays when the leader of 87 resigns without a path'],
  [87, stopLeader, 'keep their relays when the leader of 87 stops as planned'],
  [87, killLeader, 'keep their relays when the leader of 87 is killed'],
  [87, freezeLeader, 'keep their relays when the leader of 87 is frozen'],
];

describe('daemons below relays', () => {
  for (const [daemons, loseLeader, title] of CASES) {
    // A heartbeat that a relay passed on within a millisecond was taken for the leader's own.
    it(title, () => {
      const deployment = createDeployment(51, {
        daemons,
        zones: ZONES,
        interval: REQUEST_INTERVAL * daemons,
      });
      const { simulation } = deployment;
      const former = leaderOf(simulation);
      const relayOf = new Map(
        simulation.daemons
          .filter(({ parentAddress }) => parentAddress !== null && parentAddress !== former.address)
          .map((daemon) => [daemon, daemon.parentAddress]),
      );
      expect(relayOf.size > daemons / 8).toEqual(true);
      loseLeader(deployment);
      simulation.clock.runUntil(SETTLED + TAKEOVER);
      const leader = leaderOf(simulation);
      expect(leader === former).toEqual(false);
      // The new leader's own children and its siblings have to move.
      const leaving = [...relayOf].filter(
        ([daemon, relay]) => daemon !== leader && relay !== leader.address && daemon.parentAddress !== relay,
      );
      expect(leaving.map(([{ name }]) => name)).toEqual([]);
    });
  }
});
