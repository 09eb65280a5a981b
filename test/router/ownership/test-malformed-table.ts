import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LAST_KEY } from '../../../src/router/model/identifiers.js';
import type { Unit } from '../../../src/router/ownership/ownership-table.js';
import { readOwnershipRecord, UNKNOWN_OWNER } from '../../../src/router/ownership/stored-table.js';
import { RouterSimulation } from '../support/router-simulation.js';
import type { SimulatedDaemon } from '../support/simulated-daemon.js';
import { toAddress } from '../../support/addresses.js';

/** Longer than a takeover, the leases of the former leader, and a first assignment. */
const RECOVERY_TIME = 16_000;

interface StoredTable {
  readonly units: readonly Unit[];
  readonly nextFence: number;
}

type TableChange = (table: StoredTable) => unknown;

function withFirstUnit({ units, ...table }: StoredTable, change: (unit: Unit) => unknown): object {
  const [first, ...others] = units;
  return { ...table, units: [change(first as Unit), ...others] };
}

const ODD_TABLES: Readonly<Record<string, TableChange>> = {
  'a unit without a fence': (table) => withFirstUnit(table, (unit) => ({ ...unit, fence: undefined })),
  'a unit that is none': (table) => withFirstUnit(table, () => 'unit'),
  'a unit whose range ends before it begins': (table) =>
    withFirstUnit(table, (unit) => ({ ...unit, from: unit.to, to: unit.from })),
  'units that overlap': (table) => withFirstUnit(table, (unit) => ({ ...unit, to: unit.to + 9_000 })),
  'units that are no list': (table) => ({ ...table, units: 7 }),
  'no fields': () => ({}),
  'no table': () => undefined,
  'a next fence that is none': (table) => ({ ...table, nextFence: '9' }),
  'a low next fence': (table) => ({ ...table, nextFence: 2 }),
  'a release whose address is none': (table) => ({
    ...table,
    unconfirmedReleases: [
      { server: 's1', address: '127.0.0.1:65536', service: 'racks', from: 0, to: 9, fence: 1 },
    ],
  }),
  'a release that is none': (table) => ({ ...table, unconfirmedReleases: [7] }),
};

function storedTable(simulation: RouterSimulation): StoredTable {
  return (simulation.store.get('ownership') as { table: StoredTable }).table;
}

function restartAll(simulation: RouterSimulation, whileDown: () => void): void {
  simulation.daemons.forEach((daemon) => {
    daemon.alive = false;
  });
  whileDown();
  simulation.clock.runUntil(simulation.clock.now + 300);
  simulation.daemons.forEach((daemon) => simulation.startDaemon(daemon));
  simulation.clock.runUntil(simulation.clock.now + RECOVERY_TIME);
}

describe('an ownership table of another writer', () => {
  for (const [name, change] of Object.entries(ODD_TABLES)) {
    // The next leader took a table with one odd item for none, and gave keys away that servers still held.
    it(`lets no server hold keys of another, and all keys are served again: ${name}`, () => {
      for (let seed = 1; seed <= 3; seed += 1) {
        const simulation = new RouterSimulation(seed);
        simulation.clock.runUntil(8_000);
        restartAll(simulation, () => {
          const record = simulation.store.get('ownership') as object;
          simulation.store.put('ownership', { ...record, table: change(storedTable(simulation)) });
        });
        expect(simulation.checker.violations).toEqual([]);
        expect(simulation.unservedKeys()).toEqual([]);
      }
    });

    it(`lets no server hold keys of another while one leads: ${name}`, () => {
      const simulation = new RouterSimulation(4);
      simulation.clock.runUntil(8_000);
      const record = simulation.store.get('ownership') as object;
      simulation.store.put('ownership', { ...record, table: change(storedTable(simulation)) });
      (simulation.leader() as SimulatedDaemon).alive = false;
      simulation.clock.runUntil(simulation.clock.now + RECOVERY_TIME);
      expect(simulation.checker.violations).toEqual([]);
      expect(simulation.unservedKeys()).toEqual([]);
    });
  }

  it('keeps the units that can be read', () => {
    const unit = { service: 'racks', from: 0, to: 99, owner: 's1', fence: 9, releasing: null };
    const next = { ...unit, from: 200, to: LAST_KEY, owner: 's2', fence: 11 };
    const table = { term: 3, nextFence: 12, units: [next, { ...unit, from: 100, to: 'all' }, unit] };
    const record = readOwnershipRecord({ writeId: 'w', table });
    const unknown = { ...unit, from: 100, to: 199, owner: UNKNOWN_OWNER, fence: 11 };
    expect(record).toEqual({
      writeId: 'w',
      table: { term: 3, nextFence: 12, units: [unit, unknown, next], unconfirmedReleases: [] },
      malformedParts: 1,
    });
  });

  it('keeps the releases that can be read, with the address if it is one', () => {
    const release = {
      server: 's1',
      address: toAddress('10.0.0.1:80'),
      service: 'racks',
      from: 0,
      to: 9,
      fence: 1,
    };
    const releases = [release, { ...release, address: 'nowhere' }, { ...release, fence: 'high' }, null];
    const table = { term: 3, nextFence: 12, units: [], unconfirmedReleases: releases };
    const record = readOwnershipRecord({ writeId: 'w', table });
    expect(record.table.unconfirmedReleases).toEqual([release, { ...release, address: null }]);
  });
});
