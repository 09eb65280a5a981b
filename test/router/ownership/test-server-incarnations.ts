/*
 * The owner of keys crashed, and another server, or a new incarnation of the same one, answered at its
 * address before the server list said so. The leader still sent renewals to that address, and they were
 * accepted, since servers need not check for whom a grant is meant. Once the list named the new server, the
 * leader considered the former owner ended and reassigned its keys to a third server at once, so the keys had
 * two owners.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { type SimulatedServer } from '../support/simulated-server.js';
import { buildServerId, instanceOf } from '../../../src/router/model/server-incarnation.js';
import type { ServerChange } from '../../../src/router/peers/messages.js';
import { CrashTable } from '../../../src/router/quarantine/crash-table.js';
import { fingerprintOf } from '../support/fingerprints.js';
import { RouterSimulation } from '../support/router-simulation.js';
import { describeServer, SingleDaemon } from '../support/single-daemon.js';
import { toAddress } from '../../support/addresses.js';

const SETTLED = 6_000;
/** Time until the server list changes. The renewals of the owner continue meanwhile, one every 850 ms. */
const UNLISTED_TIME = 1_000;
/** A server that has just started is assigned no keys while other servers can take them. */
const COLD_AND_UNLISTED = { listedAfter: UNLISTED_TIME, warmupLeft: 8_000 };

/** Time after which a server is listed that no list names during a test. */
const LONG_UNLISTED_TIME = 60_000;
/** Time within which the keys of an ended server are granted to others. */
const RECOVERY = 6_000;

/** Returns a simulation whose keys are owned, at a time that depends on the seed. */
function settledSimulation(seed: number): RouterSimulation {
  const simulation = new RouterSimulation(seed, 3, 5);
  simulation.clock.runUntil(SETTLED + seed * 37);
  return simulation;
}

/** Crashes a server. Another one, which no list names, listens at its address. */
function replaceUnlisted(simulation: RouterSimulation, server: SimulatedServer): SimulatedServer {
  server.alive = false;
  return simulation.addServer(server.address, undefined, { listedAfter: LONG_UNLISTED_TIME });
}

/** Expects that every key has one owner, and that no two servers have held one. */
function expectOneOwnerSoon(simulation: RouterSimulation, seed: number): void {
  simulation.clock.runUntil(simulation.clock.now + RECOVERY);
  expect([seed, doubleOwnerships(simulation)]).toEqual([seed, []]);
  expect([seed, simulation.unservedKeys()]).toEqual([seed, []]);
}

function ownerIn(simulation: RouterSimulation): SimulatedServer {
  return simulation.servers.find(({ alive, holdings }) => alive && holdings.size > 0) as SimulatedServer;
}

/** Moves the keys of one server to another one, and returns that one, which renews its two units at different times. */
function ownerOfTwoUnits(simulation: RouterSimulation): SimulatedServer {
  const [, , drained] = simulation.servers;
  simulation.drain((drained as SimulatedServer).id);
  simulation.clock.runUntil(simulation.clock.now + 1_500);
  const units = simulation.leader()?.state.leadership?.table.units ?? [];
  const owners = units.map(({ owner }) => owner);
  const id = owners.find((owner, index) => owners.indexOf(owner) !== index);
  return simulation.servers.find((server) => server.id === id) as SimulatedServer;
}

/**
 * Returns the violations in which two servers hold a key. Others are expected: a grant that reaches the wrong
 * server has the fence that the right one had, which no daemon can prevent.
 */
function doubleOwnerships(simulation: RouterSimulation): string[] {
  return simulation.checker.violations.filter((violation) => violation.includes(' holds it '));
}

describe('keys of an owner that has ended', () => {
  it('have one owner when the next server at its address accepts grants that were meant for it', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const simulation = settledSimulation(seed);
      const owner = ownerIn(simulation);
      owner.alive = false;
      const next = simulation.addServer(owner.address, undefined, COLD_AND_UNLISTED);
      next.callsCheckedForName = new Set();
      simulation.clock.schedule(UNLISTED_TIME, () => simulation.removeEntry(owner.id));
      simulation.clock.runUntil(SETTLED + 12_000);
      expect(doubleOwnerships(simulation)).toEqual([]);
      expect(simulation.unservedKeys()).toEqual([]);
    }
  });

  // One of two renewals timed out and the next server accepted the other; the probe after the time-out named that server.
  it('have one owner when a probe names the next server at its address, which accepted another renewal', () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const simulation = settledSimulation(seed);
      const owner = ownerOfTwoUnits(simulation);
      owner.alive = false;
      simulation.clock.runUntil(simulation.clock.now + seed * 10);
      const next = replaceUnlisted(simulation, owner);
      next.callsCheckedForName = new Set();
      expectOneOwnerSoon(simulation, seed);
    }
  });

  // The next server rejected the release because it was meant for another one, but had accepted a renewal that was too.
  for (const statesName of [true, false]) {
    it(`have one owner when the next server rejects their release and ${statesName ? 'states' : 'does not state'} its name`, () => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const simulation = settledSimulation(seed);
        const owner = ownerIn(simulation);
        const next = replaceUnlisted(simulation, owner);
        next.callsCheckedForName = new Set(['release']);
        next.statesNameInRejections = statesName;
        simulation.clock.runUntil(simulation.clock.now + UNLISTED_TIME);
        simulation.drain(owner.id);
        expectOneOwnerSoon(simulation, seed);
      }
    });
  }

  // The entry of the next incarnation has another address, so its consent says nothing about the server that took over the former one.
  it('have one owner when the owner restarts at another address and another server listens at its former one', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const simulation = settledSimulation(seed);
      const owner = ownerIn(simulation);
      const next = replaceUnlisted(simulation, owner);
      next.callsCheckedForName = new Set();
      simulation.clock.runUntil(simulation.clock.now + UNLISTED_TIME);
      simulation.restartServer(owner, 2, toAddress('10.0.1.99:80'));
      expectOneOwnerSoon(simulation, seed);
    }
  });

  it('are granted again under a higher fence when the owner restarts under its name within a heartbeat', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const simulation = settledSimulation(seed);
      const former = ownerIn(simulation);
      const next = simulation.restartServer(former, 2);
      simulation.clock.runUntil(SETTLED + 8_000);
      expect(simulation.checker.violations).toEqual([]);
      expect(simulation.unservedKeys()).toEqual([]);
      const owners = new Set(simulation.leader()?.state.ownershipView.units.map(({ owner }) => owner));
      expect(owners.has(former.id)).toEqual(false);
      expect(next.holdings.size === 0 || owners.has(next.id)).toEqual(true);
    }
  });

  it('are granted again although the clock of the owner was set back between its incarnations', () => {
    const simulation = new RouterSimulation(7, 3, 5);
    simulation.clock.runUntil(SETTLED);
    const former = ownerIn(simulation);
    const later = simulation.restartServer(former, 900);
    simulation.clock.runUntil(SETTLED + 6_000);
    const last = simulation.restartServer(later, 100);
    simulation.clock.runUntil(SETTLED + 14_000);
    expect(simulation.unservedKeys()).toEqual([]);
    expect(simulation.checker.violations).toEqual([]);
    const known = simulation.daemons.map(
      ({ state }) => state.servers.has(last.id) && !state.servers.has(later.id),
    );
    expect(known).toEqual(known.map(() => true));
  });
});

describe('what is known of an incarnation', () => {
  it('is not carried over to the next incarnation under its name', () => {
    const daemon = new SingleDaemon();
    const changes = [
      { id: 's1', server: { ...describeServer('s1#1'), address: toAddress('10.0.0.1:80'), revision: 6 } },
    ];
    daemon.event({ kind: 'serversChanged', changes, revision: 6 });
    daemon.event({ kind: 'serverNoticed', server: 's1#1', notice: { leaving: true, rest: 5_000 } });
    const next = [
      { id: 's1', server: { ...describeServer('s1#2'), address: toAddress('10.0.0.1:80'), revision: 7 } },
    ];
    daemon.event({ kind: 'serversChanged', changes: next, revision: 7 });
    expect(daemon.effectsOfKind('forgetConnections').map(({ address }) => address)).toInclude(
      toAddress('10.0.0.1:80'),
    );
    const known = daemon.state.servers.get('s1#2');
    expect([known?.drainingSince, known?.backOff.left(daemon.now)]).toEqual([null, 0]);
    daemon.event({ kind: 'serverNoticed', server: 's1#1', notice: { leaving: true, rest: 5_000 } });
    expect([known?.drainingSince, known?.backOff.left(daemon.now)]).toEqual([null, 0]);
  });

  it('is not restored by an older entry of the server list', () => {
    const daemon = new SingleDaemon();
    const entry = (born: number, revision: number): ServerChange => ({
      id: 's1',
      server: { ...describeServer(`s1#${born}`), address: toAddress('10.0.0.1:80'), revision },
    });
    daemon.event({ kind: 'serversChanged', changes: [entry(2, 7)], revision: 7 });
    daemon.event({ kind: 'serversChanged', changes: [entry(1, 6)], revision: 8 });
    expect([...daemon.state.servers.keys()]).toInclude('s1#2');
    expect([...daemon.state.servers.keys()]).not.toInclude('s1#1');
  });

  it('counts the ends of three incarnations under one name as three', () => {
    const table = new CrashTable();
    const ended = [1, 2, 3].map((born) => ({ server: buildServerId('s1', born), age: born * 1_000 }));
    const none = { exonerated: [], quarantined: false, retested: false, heldBack: false };
    table.merge({ fingerprint: fingerprintOf('deadly').value, ended, ...none }, 10_000);
    expect(table.crashCount(fingerprintOf('deadly'))).toEqual(3);
  });

  it('has an id from which the server name can be read, whatever the name is', () => {
    for (const name of ['i-1', 'i#1', 'i#', '#', 'i-1#2#']) {
      expect(instanceOf(buildServerId(name, null))).toEqual(name);
      expect(instanceOf(buildServerId(name, 7))).toEqual(name);
      expect(buildServerId(name, 7) === buildServerId(name, null)).toEqual(false);
    }
  });
});
