import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { Leadership } from '../../../src/router/ownership/leadership-state.js';
import {
  EMPTY_TABLE,
  splitUnit,
  withUnits,
  type OwnershipTable,
  type Unit,
} from '../../../src/router/ownership/ownership-table.js';
import { readOwnershipRecord } from '../../../src/router/ownership/stored-table.js';
import {
  withinLimit,
  withNewReleases,
  withoutSeenFence,
  type UnconfirmedRelease,
} from '../../../src/router/ownership/unconfirmed-releases.js';
import { RouterSimulation, type SimulatedDaemon } from '../support/router-simulation.js';
import type { SimulatedServer } from '../support/simulated-server.js';
import type { Address } from '../../../src/router/model/address.js';
import { LAST_KEY } from '../../../src/router/model/identifiers.js';
import { toAddress } from '../../support/addresses.js';

const SETTLED = 6_000;
/** Time after which the keys of a server that is cut off have been granted to others. */
const TAKEN_OVER = 5_000;
const MERGE_INTERVAL = 3_500;
/** Time in which a server must hear of a fence after a network failure. */
const SLACK = 300;

const unit: Unit = { service: 'racks', from: 0, to: 99, owner: 'a', fence: 5, releasing: null };
const table: OwnershipTable = { ...EMPTY_TABLE, term: 1, nextFence: 10, units: [unit] };
const release: UnconfirmedRelease = {
  server: 'a',
  address: toAddress('10.0.1.1:80'),
  service: 'racks',
  from: 0,
  to: 99,
  fence: 10,
};
const addressOf = (): Address => toAddress('10.0.1.1:80');

function withOwner(owner: string, fence: number, releasing: string | null): OwnershipTable {
  return withUnits(table, [{ ...unit, owner, fence, releasing }]);
}

describe('the list of unconfirmed releases', () => {
  it('gets an entry for a unit that is taken from its owner, and none for one that is split', () => {
    const moved = withOwner('b', 11, 'a');
    expect(withNewReleases([], table, moved, addressOf)).toEqual([release]);
    expect(withNewReleases([], moved, splitUnit(moved, moved.units[0] as Unit, 50), addressOf)).toEqual([]);
  });

  it('keeps one entry for keys that are taken from the same server twice', () => {
    const again = withNewReleases([release], table, withOwner('c', 31, 'a'), addressOf);
    expect(again).toEqual([{ ...release, fence: 30 }]);
  });

  it('keeps the keys for which the server has seen no fence as high', () => {
    const isSame = ({ server }: UnconfirmedRelease): boolean => server === 'a';
    const seen = { service: 'racks', from: 10, to: 19 };
    expect(withoutSeenFence([release], isSame, seen, 9)).toEqual([release]);
    expect(withoutSeenFence([release], isSame, seen, 10)).toEqual([
      { ...release, to: 9 },
      { ...release, from: 20 },
    ]);
    expect(withoutSeenFence([release], () => false, seen, 10)).toEqual([release]);
  });

  it('is bounded, and loses the lowest fences first', () => {
    const many = Array.from({ length: 600 }, (_, index) => ({ ...release, fence: index }));
    const kept = withinLimit(many);
    expect([kept.length, Math.min(...kept.map(({ fence }) => fence))]).toEqual([512, 88]);
  });

  it('is empty in a table of a version that had none', () => {
    const whole = { ...table, units: [{ ...unit, to: LAST_KEY }] };
    const { unconfirmedReleases, ...former } = whole;
    expect(unconfirmedReleases).toEqual([]);
    expect(readOwnershipRecord({ writeId: 'w', table: former }).table).toEqual(whole);
  });
});

function restartLeader(simulation: RouterSimulation): void {
  const leader = simulation.leader() as SimulatedDaemon;
  leader.alive = false;
  simulation.clock.schedule(600, () => simulation.startDaemon(leader));
  simulation.clock.runUntil(simulation.clock.now + 2_000);
}

function leadershipOf(simulation: RouterSimulation): Leadership {
  return simulation.leader()?.state.leadership as Leadership;
}

function storedReleases(simulation: RouterSimulation): readonly UnconfirmedRelease[] | undefined {
  return readOwnershipRecord(simulation.store.get('ownership')).table.unconfirmedReleases;
}

function repeatedReleases({ daemons }: RouterSimulation): number {
  return daemons.reduce((sum, { state }) => sum + state.counters.repeated_releases, 0);
}

/** Starts a simulation whose leader has a predecessor, and cuts a server off until its keys have other owners. */
function cutOffOwner(seed: number): { simulation: RouterSimulation; owner: SimulatedServer } {
  const simulation = new RouterSimulation(seed, 3, 5);
  simulation.clock.runUntil(SETTLED);
  restartLeader(simulation);
  const owner = simulation.servers.find(({ holdings }) => holdings.size > 0) as SimulatedServer;
  owner.reachable = false;
  simulation.clock.runUntil(simulation.clock.now + TAKEN_OVER);
  return { simulation, owner };
}

describe('repeated releases', () => {
  // Guards against a former owner that is told too late: a grant may arrive as soon as the network failure is over.
  it('reach a former owner within the slack after it can be reached again', () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const { simulation, owner } = cutOffOwner(seed);
      expect(leadershipOf(simulation).unconfirmedReleases.map(({ server }) => server)).toEqual([owner.id]);
      expect(storedReleases(simulation)).toEqual([...leadershipOf(simulation).unconfirmedReleases]);
      owner.reachable = true;
      simulation.clock.runUntil(simulation.clock.now + SLACK);
      expect(leadershipOf(simulation).unconfirmedReleases).toEqual([]);
      simulation.clock.runUntil(simulation.clock.now + MERGE_INTERVAL);
      expect(storedReleases(simulation)).toEqual([]);
    }
  });

  // Guards against losing the address of a former owner whose entry has lapsed when the next leader has just started.
  it('go on under the next leader for a server that is no longer listed', () => {
    const { simulation, owner } = cutOffOwner(1);
    simulation.removeEntry(owner.id);
    simulation.clock.runUntil(simulation.clock.now + MERGE_INTERVAL);
    simulation.daemons.forEach((daemon) => (daemon.alive = false));
    simulation.daemons.forEach((daemon) => simulation.startDaemon(daemon));
    simulation.clock.runUntil(simulation.clock.now + TAKEN_OVER);
    owner.reachable = true;
    simulation.clock.runUntil(simulation.clock.now + SLACK);
    expect(leadershipOf(simulation).unconfirmedReleases).toEqual([]);
  });

  it('go to the server that listens at the address of one that has ended', () => {
    const { simulation, owner } = cutOffOwner(2);
    owner.alive = false;
    simulation.removeEntry(owner.id);
    simulation.addServer(owner.address);
    simulation.clock.runUntil(simulation.clock.now + SLACK);
    expect(leadershipOf(simulation).unconfirmedReleases).toEqual([]);
  });

  // Guards against calls that go on to an innocent server, which rejects them.
  it('end when a server of another service listens at the address of one that has ended', () => {
    const { simulation, owner } = cutOffOwner(2);
    owner.alive = false;
    simulation.removeEntry(owner.id);
    simulation.addServer(owner.address, 'other').hasNoKeys = true;
    simulation.clock.runUntil(simulation.clock.now + SLACK);
    expect(leadershipOf(simulation).unconfirmedReleases).toEqual([]);
  });

  it('are not sent while former owners answer', () => {
    const simulation = new RouterSimulation(3, 3, 5);
    simulation.clock.runUntil(SETTLED);
    restartLeader(simulation);
    const requestHotKey = (): void => {
      simulation.countKeyRequests(Array.from({ length: 8 }, (_, index) => 7 + 512 * index));
      simulation.clock.schedule(50, requestHotKey);
    };
    requestHotKey();
    const before = leadershipOf(simulation).table.nextFence;
    simulation.clock.runUntil(simulation.clock.now + 10_000);
    expect(leadershipOf(simulation).table.nextFence > before).toEqual(true);
    expect(repeatedReleases(simulation)).toEqual(0);
  });

  // Guards against calls that go on for ever to a server that is gone for good.
  it('end when no call of a former leader can arrive any more', () => {
    const { simulation } = cutOffOwner(5);
    const leadership = leadershipOf(simulation);
    (leadership as { formerCallsArriveUntil: number }).formerCallsArriveUntil = simulation.clock.now;
    simulation.clock.runUntil(simulation.clock.now + MERGE_INTERVAL);
    expect([leadership.unconfirmedReleases, storedReleases(simulation)]).toEqual([[], []]);
  });

  // Guards against calls to servers that are gone for good while no call of a former leader can be on its way.
  it('are not sent by the first leader, which has no predecessor', () => {
    const simulation = new RouterSimulation(4, 3, 5);
    simulation.clock.runUntil(SETTLED);
    const owner = simulation.servers.find(({ holdings }) => holdings.size > 0) as SimulatedServer;
    owner.alive = false;
    simulation.clock.runUntil(simulation.clock.now + TAKEN_OVER);
    expect([leadershipOf(simulation).unconfirmedReleases.length, repeatedReleases(simulation)]).toEqual([
      0, 0,
    ]);
  });
});
