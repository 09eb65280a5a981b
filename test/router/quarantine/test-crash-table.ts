import { expect } from 'earl';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { CrashRecord } from '../../../src/router/quarantine/crash-record.js';
import { CrashTable } from '../../../src/router/quarantine/crash-table.js';
import { fingerprintOf } from '../support/fingerprints.js';

const DEADLY = fingerprintOf('deadly');
const CONFIRMATION = 1_200;

function ends(servers: readonly string[], age = 0, fingerprint = DEADLY): CrashRecord {
  const ended = servers.map((server) => ({ server, age }));
  const rest = { exonerated: [], quarantined: false, retested: false };
  return { fingerprint: fingerprint.value, ended, ...rest };
}

/** A table in which three servers have ended under a request, one after the other. */
function quarantined(): CrashTable {
  const table = new CrashTable();
  ['s1', 's2', 's3'].forEach((server, index) => table.merge(ends([server]), index * 3_000));
  table.confirmSuspicions(CONFIRMATION, 6_000);
  return table;
}

describe('the table of requests under which servers ended', () => {
  it('counts an end once, whoever tells it and how often', () => {
    const table = new CrashTable();
    expect(table.merge(ends(['s1']), 0)).not.toEqual(null);
    expect(table.merge(ends(['s1']), 5_000)).toEqual(null);
    expect(table.endsUnder(DEADLY)).toEqual(1);
  });

  it('puts a request into quarantine after three ends', () => {
    expect(quarantined().isQuarantined(DEADLY)).toEqual(true);
    expect(quarantined().isQuarantined(fingerprintOf('other'))).toEqual(false);
  });

  it('waits while all ends are of one moment, and for the confirmation', () => {
    const table = new CrashTable();
    table.merge(ends(['s1', 's2', 's3', 's4']), 0);
    expect(table.confirmSuspicions(CONFIRMATION, 60_000)).toEqual([]);
    table.merge(ends(['s5']), 61_000);
    expect(table.confirmSuspicions(CONFIRMATION, 61_000).length).toEqual(1);
    const heardLate = new CrashTable();
    heardLate.merge(ends(['s1'], 9_000), 0);
    heardLate.merge(ends(['s2', 's3']), 0);
    expect(heardLate.confirmSuspicions(CONFIRMATION, CONFIRMATION - 1)).toEqual([]);
    expect(heardLate.confirmSuspicions(CONFIRMATION, CONFIRMATION).length).toEqual(1);
  });

  it('takes ends back that an answer disproves, for good', () => {
    const table = quarantined();
    table.clear(DEADLY, 7_000);
    expect(table.isQuarantined(DEADLY)).toEqual(false);
    expect(table.merge(ends(['s1', 's2', 's3']), 7_100)).toEqual(null);
    expect(table.endsUnder(DEADLY)).toEqual(0);
  });

  it('takes the ends of a server back that answers what was sent to it afterwards', () => {
    const table = quarantined();
    expect(table.noteAlive('s2', 2_999, 7_000)).toEqual([]);
    expect(table.noteAlive('s2', 3_001, 7_000).length).toEqual(1);
    expect(table.isQuarantined(DEADLY)).toEqual(false);
  });

  it('forgets the oldest suspicions first, and no quarantine for one', () => {
    const table = quarantined();
    for (let index = 0; index < 2_000; index += 1) {
      table.merge(ends(['s9'], 0, fingerprintOf(`innocent ${index}`)), 8_000 + index);
    }
    expect(table.suspicions).toEqual(512);
    expect(table.isQuarantined(DEADLY)).toEqual(true);
    expect(table.endsUnder(fingerprintOf('innocent 0'))).toEqual(0);
    expect(table.endsUnder(fingerprintOf('innocent 1999'))).toEqual(1);
  });

  it('forgets suspicions with time, and no quarantine', () => {
    const table = quarantined();
    table.merge(ends(['s9'], 0, fingerprintOf('once')), 8_000);
    table.expire(8_000 + 601_000);
    expect(table.endsUnder(fingerprintOf('once'))).toEqual(0);
    expect(table.isQuarantined(DEADLY)).toEqual(true);
  });

  it('keeps the span of its ends when more come than it holds', () => {
    const table = new CrashTable();
    table.merge(ends(['s1', 's2', 's3', 's4', 's5', 's6']), 0);
    table.merge(ends(['s7']), 4_000);
    expect(table.confirmSuspicions(CONFIRMATION, 4_000).length).toEqual(1);
  });

  it('comes to the same whatever the order in which records are told', () => {
    const servers = fc.array(fc.constantFrom<string>('s1', 's2', 's3', 's4'), { maxLength: 2 });
    const record = fc.record({
      ended: servers,
      exonerated: servers,
    });
    fc.assert(
      fc.property(fc.array(record, { maxLength: 6 }), fc.nat(), (records, seed) => {
        const told = records.map(({ ended, exonerated }) => ({ ...ends(ended), exonerated }));
        const shuffled = [...told].sort((left, right) => {
          const weight = (one: CrashRecord): number => (told.indexOf(one) * 7_919 + seed) % 101;
          return weight(left) - weight(right);
        });
        const counts = [told, shuffled].map((order) => {
          const table = new CrashTable();
          order.forEach((one) => table.merge(one, 0));
          return table.endsUnder(DEADLY);
        });
        expect(counts[0]).toEqual(counts[1] as number);
      }),
      { seed: 39, numRuns: 300 },
    );
  });
});
