import { expect } from 'earl';
import { describe, it } from 'node:test';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { RouterSimulation, type SimulatedDaemon } from '../support/router-simulation.js';

/** Long enough for a plan, releases and grants. The deployment in the tests allows 5 s. */
const MAX_MOVE_TIME = 2_500;
const SETTLING_TIME = 6_000;

function zoneOf(world: RouterSimulation, id: string): string | undefined {
  return world.daemons[0]?.state.servers.get(id)?.server.zone;
}

function ownerZones(world: RouterSimulation): (string | undefined)[] {
  const units = world.leader()?.state.leadership?.table.units ?? [];
  return [...new Set(units.map((unit) => zoneOf(world, unit.owner)))].sort();
}

function daemonsWithEvacuation(world: RouterSimulation, zone: string): SimulatedDaemon[] {
  return world.daemons.filter(({ state }) => state.evacuations.has(zone));
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
    const world = new RouterSimulation(1, 6, 9);
    world.clock.runUntil(SETTLING_TIME);
    const cut = world.daemons.filter((daemon) => !daemon.state.followsStore);
    cut.forEach((daemon) => (daemon.storeReachable = false));
    world.evacuate(['z1']);
    world.clock.runUntil(SETTLING_TIME + 300);
    expect(daemonsWithEvacuation(world, 'z1').length).toEqual(6);
    world.evacuate([]);
    world.clock.runUntil(SETTLING_TIME + 600);
    expect(daemonsWithEvacuation(world, 'z1')).toEqual([]);
  });

  it('loses its units in time, and no key stays without an owner', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const world = new RouterSimulation(seed, 4, 9);
      world.clock.runUntil(SETTLING_TIME);
      world.evacuate(['z1']);
      world.clock.runUntil(SETTLING_TIME + MAX_MOVE_TIME);
      expect(ownerZones(world)).toEqual(['z0', 'z2']);
      expect(world.unservedKeys()).toEqual([]);
    }
  });

  it('stays evacuated when the leader is lost and when all daemons restart', () => {
    const world = new RouterSimulation(3, 4, 9);
    world.clock.runUntil(SETTLING_TIME);
    world.evacuate(['z2']);
    world.clock.runUntil(SETTLING_TIME + 100);
    const leader = world.leader() as SimulatedDaemon;
    leader.alive = false;
    world.clock.runUntil(SETTLING_TIME + 6_000);
    expect(ownerZones(world)).toEqual(['z0', 'z1']);
    world.daemons.forEach((daemon) => world.startDaemon(daemon));
    world.clock.runUntil(SETTLING_TIME + 12_000);
    expect(daemonsWithEvacuation(world, 'z2').length).toEqual(4);
    expect(ownerZones(world)).toEqual(['z0', 'z1']);
  });

  it('is evacuated no longer after it is restored, and no key is without an owner', () => {
    const world = new RouterSimulation(2, 3, 6);
    world.clock.runUntil(SETTLING_TIME);
    world.evacuate(['z1']);
    world.clock.runUntil(SETTLING_TIME + 1_000);
    world.evacuate([]);
    world.clock.runUntil(SETTLING_TIME + 2_000);
    expect(world.leader()?.state.evacuations.isEmpty).toEqual(true);
    expect(world.unservedKeys()).toEqual([]);
  });

  it('changes nothing when the zone is unknown', () => {
    const world = new RouterSimulation(4, 3, 6);
    world.clock.runUntil(SETTLING_TIME);
    const before = world.leader()?.state.leadership?.table;
    world.evacuate(['nowhere']);
    world.clock.runUntil(SETTLING_TIME + 1_500);
    expect(world.leader()?.state.leadership?.table).toEqual(before);
  });

  it('leaves units where they are when no other zone has servers', () => {
    const world = new RouterSimulation(5, 3, 6);
    world.clock.runUntil(SETTLING_TIME);
    const before = ownerZones(world);
    world.evacuate(['z0', 'z1', 'z2']);
    world.clock.runUntil(SETTLING_TIME + 3_000);
    expect(ownerZones(world)).toEqual(before);
  });

  it('loses its units while another zone is lost', () => {
    const world = new RouterSimulation(6, 3, 9);
    world.clock.runUntil(SETTLING_TIME);
    world.servers
      .filter((server) => zoneOf(world, server.id) === 'z2')
      .forEach((server) => (server.alive = false));
    world.evacuate(['z1']);
    world.clock.runUntil(SETTLING_TIME + 8_000);
    expect(ownerZones(world)).toEqual(['z0']);
  });
});
