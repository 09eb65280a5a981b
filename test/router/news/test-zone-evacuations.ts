import { expect } from 'earl';
import { describe, it } from 'node:test';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { RouterSimulation, type SimulatedDaemon } from '../support/router-simulation.js';

/** Long enough for a plan, releases and grants. The deployment in the tests allows 5 s. */
const MAX_MOVE_TIME = 2_500;
const SETTLING_TIME = 6_000;

function zoneOf(simulation: RouterSimulation, id: string): string | undefined {
  return simulation.daemons[0]?.state.servers.get(id)?.server.zone;
}

function ownerZones(simulation: RouterSimulation): (string | undefined)[] {
  const units = simulation.leader()?.state.leadership?.table.units ?? [];
  return [...new Set(units.map((unit) => zoneOf(simulation, unit.owner)))].sort();
}

function daemonsWithEvacuation(simulation: RouterSimulation, zone: string): SimulatedDaemon[] {
  return simulation.daemons.filter(({ state }) => state.evacuations.has(zone));
}

describe('ZoneEvacuations', () => {
  it('does not go back to an older revision', () => {
    const evacuations = new ZoneEvacuations();
    expect(evacuations.apply({ revision: 7, zones: ['a'] }, 100)).toEqual({ evacuated: ['a'], restored: [] });
    expect(evacuations.apply({ revision: 6, zones: [] }, 200)).toEqual(null);
    expect(evacuations.apply({ revision: 7, zones: [] }, 200)).toEqual(null);
    expect(evacuations.has('a')).toEqual(true);
  });

  it('counts the age of an evacuation from the first statement of it', () => {
    const evacuations = new ZoneEvacuations();
    evacuations.apply({ revision: 7, zones: ['a'] }, 100);
    expect(evacuations.apply({ revision: 9, zones: ['a'] }, 600)).toEqual(null);
    expect(evacuations.age('a', 1_100)).toEqual(1_000);
    expect(evacuations.age('b', 1_100)).toEqual(null);
  });

  it('restarts the age when a zone is evacuated again', () => {
    const evacuations = new ZoneEvacuations();
    evacuations.apply({ revision: 7, zones: ['a'] }, 100);
    expect(evacuations.apply({ revision: 8, zones: ['b'] }, 200)).toEqual({
      evacuated: ['b'],
      restored: ['a'],
    });
    evacuations.apply({ revision: 9, zones: ['a', 'b'] }, 300);
    expect(evacuations.age('a', 350)).toEqual(50);
  });
});

describe('an evacuated zone', () => {
  it('is known to every daemon at once, including those that the store refuses', () => {
    const simulation = new RouterSimulation(1, 6, 9);
    simulation.clock.runUntil(SETTLING_TIME);
    const cut = simulation.daemons.filter((daemon) => !daemon.state.followsStore);
    cut.forEach((daemon) => (daemon.storeReachable = false));
    simulation.evacuate(['z1']);
    simulation.clock.runUntil(SETTLING_TIME + 300);
    expect(daemonsWithEvacuation(simulation, 'z1').length).toEqual(6);
    simulation.evacuate([]);
    simulation.clock.runUntil(SETTLING_TIME + 600);
    expect(daemonsWithEvacuation(simulation, 'z1')).toEqual([]);
  });

  it('loses its units in time, and no key stays without an owner', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const simulation = new RouterSimulation(seed, 4, 9);
      simulation.clock.runUntil(SETTLING_TIME);
      simulation.evacuate(['z1']);
      simulation.clock.runUntil(SETTLING_TIME + MAX_MOVE_TIME);
      expect(ownerZones(simulation)).toEqual(['z0', 'z2']);
      expect(simulation.unservedKeys()).toEqual([]);
    }
  });

  it('stays evacuated when the leader is lost and when all daemons restart', () => {
    const simulation = new RouterSimulation(3, 4, 9);
    simulation.clock.runUntil(SETTLING_TIME);
    simulation.evacuate(['z2']);
    simulation.clock.runUntil(SETTLING_TIME + 100);
    const leader = simulation.leader() as SimulatedDaemon;
    leader.alive = false;
    simulation.clock.runUntil(SETTLING_TIME + 6_000);
    expect(ownerZones(simulation)).toEqual(['z0', 'z1']);
    simulation.daemons.forEach((daemon) => simulation.startDaemon(daemon));
    simulation.clock.runUntil(SETTLING_TIME + 12_000);
    expect(daemonsWithEvacuation(simulation, 'z2').length).toEqual(4);
    expect(ownerZones(simulation)).toEqual(['z0', 'z1']);
  });

  it('is evacuated no longer after it is restored, and no key is without an owner', () => {
    const simulation = new RouterSimulation(2, 3, 6);
    simulation.clock.runUntil(SETTLING_TIME);
    simulation.evacuate(['z1']);
    simulation.clock.runUntil(SETTLING_TIME + 1_000);
    simulation.evacuate([]);
    simulation.clock.runUntil(SETTLING_TIME + 2_000);
    expect(simulation.leader()?.state.evacuations.isEmpty).toEqual(true);
    expect(simulation.unservedKeys()).toEqual([]);
  });

  it('changes nothing when the zone is unknown', () => {
    const simulation = new RouterSimulation(4, 3, 6);
    simulation.clock.runUntil(SETTLING_TIME);
    const before = simulation.leader()?.state.leadership?.table;
    simulation.evacuate(['nowhere']);
    simulation.clock.runUntil(SETTLING_TIME + 1_500);
    expect(simulation.leader()?.state.leadership?.table).toEqual(before);
  });

  it('leaves units where they are when no other zone has servers', () => {
    const simulation = new RouterSimulation(5, 3, 6);
    simulation.clock.runUntil(SETTLING_TIME);
    const before = ownerZones(simulation);
    simulation.evacuate(['z0', 'z1', 'z2']);
    simulation.clock.runUntil(SETTLING_TIME + 3_000);
    expect(ownerZones(simulation)).toEqual(before);
  });

  it('loses its units while another zone is lost', () => {
    const simulation = new RouterSimulation(6, 3, 9);
    simulation.clock.runUntil(SETTLING_TIME);
    simulation.servers
      .filter((server) => zoneOf(simulation, server.id) === 'z2')
      .forEach((server) => (server.alive = false));
    simulation.evacuate(['z1']);
    simulation.clock.runUntil(SETTLING_TIME + 8_000);
    expect(ownerZones(simulation)).toEqual(['z0']);
  });
});
