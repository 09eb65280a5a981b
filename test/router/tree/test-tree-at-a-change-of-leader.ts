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
import type { RouterSimulation, SimulatedDaemon } from '../support/router-simulation.js';

const ZONES = ['z0', 'z1', 'z2', 'z3'];
const REQUEST_INTERVAL = 6;
const TAKEOVER = 5_000;
/** Delay in milliseconds of what a slow leader sends. */
const LATE_HEARTBEATS = 2_500;
/** Number of the link on which a daemon receives messages from its parent. */
const PARENT_LINK = -1;

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

/** Returns the address of the relay of each daemon that is below one. */
function relaysOf(simulation: RouterSimulation): Map<SimulatedDaemon, string> {
  const relays = new Map<SimulatedDaemon, string>();
  const leader = leaderOf(simulation);
  for (const daemon of simulation.daemons) {
    if (daemon.parentAddress !== null && daemon.parentAddress !== leader.address) {
      relays.set(daemon, daemon.parentAddress);
    }
  }
  return relays;
}

/** Returns the daemons that have left their relays. The new leader and its own children have to. */
function findLeaving(simulation: RouterSimulation, relays: ReadonlyMap<SimulatedDaemon, string>): string[] {
  const leader = leaderOf(simulation);
  const leaving = [...relays].filter(
    ([daemon, relay]) => daemon !== leader && relay !== leader.address && daemon.parentAddress !== relay,
  );
  return leaving.map(([{ name }]) => name);
}

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
      const relays = relaysOf(simulation);
      expect(relays.size > daemons / 8).toEqual(true);
      loseLeader(deployment);
      simulation.clock.runUntil(SETTLED + TAKEOVER);
      expect(leaderOf(simulation) === former).toEqual(false);
      expect(findLeaving(simulation, relays)).toEqual([]);
    });
  }

  // A relay that had heard of the next leader, but not from it, sent no heartbeats, and its children connected to that leader as well.
  it('keep their relays while these have only been told of the next leader', () => {
    const { simulation } = createDeployment(52, {
      daemons: 87,
      zones: ZONES,
      interval: REQUEST_INTERVAL * 87,
    });
    const former = leaderOf(simulation);
    const relays = relaysOf(simulation);
    const children = simulation.daemons.filter(({ parentAddress }) => parentAddress === former.address);
    const [next, ...others] = children as [SimulatedDaemon, ...SimulatedDaemon[]];
    simulation.links.setDelay(next, null, LATE_HEARTBEATS);
    former.alive = false;
    const { name, life, address } = next;
    const term = 2;
    const record = { term, daemon: name, life, address, beat: 0, settled: false, resigned: false };
    simulation.store.put('leader', record);
    const message = {
      kind: 'leaderNotice',
      term,
      leader: name,
      leaderLife: life,
      leaderAddress: address,
    } as const;
    others.forEach((relay) => simulation.deliver(relay, { kind: 'peerMessage', link: PARENT_LINK, message }));
    simulation.clock.runUntil(SETTLED + LATE_HEARTBEATS / 2);
    const leaving = [...relays].filter(
      ([daemon, relay]) => relay !== address && daemon.parentAddress !== relay,
    );
    expect(leaving.map(([daemon]) => daemon.name)).toEqual([]);
  });
});
