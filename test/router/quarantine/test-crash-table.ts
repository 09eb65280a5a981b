import { expect } from 'earl';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { CrashRecord } from '../../../src/router/quarantine/crash-record.js';
import { CrashTable } from '../../../src/router/quarantine/crash-table.js';
import { fingerprintOf } from '../support/fingerprints.js';

const DEADLY = fingerprintOf('deadly');
const CONFIRMATION_TIME = 1_200;

function crashRecord(servers: readonly string[], age = 0, fingerprint = DEADLY): CrashRecord {
  const ended = servers.map((server) => ({ server, age }));
  const otherFields = { exonerated: [], quarantined: false, retested: false, heldBack: false };
  return { fingerprint: fingerprint.value, ended, ...otherFields };
}

/** Returns a table in which three servers have crashed under a request, one after the other, and it is quarantined. */
function createQuarantinedTable(): CrashTable {
  const table = new CrashTable();
  ['s1', 's2', 's3'].forEach((server, index) => table.merge(crashRecord([server]), index * 3_000));
  table.confirmSuspicions(CONFIRMATION_TIME, 6_000);
  return table;
}

describe('CrashTable', () => {
  it('counts a crash once, however often it is reported', () => {
    const table = new CrashTable();
    expect(table.merge(crashRecord(['s1']), 0)).not.toEqual(null);
    expect(table.merge(crashRecord(['s1']), 5_000)).toEqual(null);
    expect(table.crashCount(DEADLY)).toEqual(1);
  });

  it('quarantines a request after three crashes', () => {
    expect(createQuarantinedTable().isQuarantined(DEADLY)).toEqual(true);
    expect(createQuarantinedTable().isQuarantined(fingerprintOf('other'))).toEqual(false);
  });

  it('does not quarantine for crashes at the same time, or before the confirmation time is over', () => {
    const table = new CrashTable();
    table.merge(crashRecord(['s1', 's2', 's3', 's4']), 0);
    expect(table.confirmSuspicions(CONFIRMATION_TIME, 60_000)).toEqual([]);
    table.merge(crashRecord(['s5']), 61_000);
    expect(table.confirmSuspicions(CONFIRMATION_TIME, 61_000).length).toEqual(1);
    const learnedLate = new CrashTable();
    learnedLate.merge(crashRecord(['s1'], 9_000), 0);
    learnedLate.merge(crashRecord(['s2', 's3']), 0);
    expect(learnedLate.confirmSuspicions(CONFIRMATION_TIME, CONFIRMATION_TIME - 1)).toEqual([]);
    expect(learnedLate.confirmSuspicions(CONFIRMATION_TIME, CONFIRMATION_TIME).length).toEqual(1);
  });

  // A request that crashes servers was sent to one more each second by the leader while three crashes at once did not quarantine it.
  it('sends a request under which three servers crashed at once no sooner than a quarantined one', () => {
    const table = new CrashTable();
    const ended = ['s1', 's2', 's3'].map((server) => ({ server, age: 0, copies: [`copy at ${server}`] }));
    table.merge({ ...crashRecord([]), ended }, 0);
    expect(table.isHeldBack(DEADLY, CONFIRMATION_TIME, CONFIRMATION_TIME)).toEqual(true);
    expect(table.tryAcquireTrial(DEADLY, CONFIRMATION_TIME)).toEqual(false);
    const trials = Array.from({ length: 21 }, () => table.tryAcquireTrial(DEADLY, 10_000));
    expect(trials).toEqual([...Array.from({ length: 20 }, () => false), true]);
  });

  it('permanently discounts the crashes of a request that is cleared', () => {
    const table = createQuarantinedTable();
    table.exonerateRequest(DEADLY, 7_000);
    expect(table.isQuarantined(DEADLY)).toEqual(false);
    expect(table.merge(crashRecord(['s1', 's2', 's3']), 7_100)).toEqual(null);
    expect(table.crashCount(DEADLY)).toEqual(0);
  });

  it('discounts the crash of a server that answers a request sent after the crash was reported', () => {
    const table = createQuarantinedTable();
    expect(table.exonerateServer('s2', 2_999, 7_000)).toEqual([]);
    expect(table.exonerateServer('s2', 3_001, 7_000).length).toEqual(1);
    expect(table.isQuarantined(DEADLY)).toEqual(false);
  });

  it('removes the oldest suspicions first, and no quarantine to make room for a suspicion', () => {
    const table = createQuarantinedTable();
    for (let index = 0; index < 2_000; index += 1) {
      table.merge(crashRecord(['s9'], 0, fingerprintOf(`innocent ${index}`)), 8_000 + index);
    }
    expect(table.suspicionCount).toEqual(512);
    expect(table.isQuarantined(DEADLY)).toEqual(true);
    expect(table.crashCount(fingerprintOf('innocent 0'))).toEqual(0);
    expect(table.crashCount(fingerprintOf('innocent 1999'))).toEqual(1);
  });

  it('expires suspicions, but no quarantine', () => {
    const table = createQuarantinedTable();
    table.merge(crashRecord(['s9'], 0, fingerprintOf('once')), 8_000);
    table.removeExpired(8_000 + 601_000);
    expect(table.crashCount(fingerprintOf('once'))).toEqual(0);
    expect(table.isQuarantined(DEADLY)).toEqual(true);
  });

  it('keeps the span from the first to the last crash when more crashes are reported than it holds', () => {
    const table = new CrashTable();
    table.merge(crashRecord(['s1', 's2', 's3', 's4', 's5', 's6']), 0);
    table.merge(crashRecord(['s7']), 4_000);
    expect(table.confirmSuspicions(CONFIRMATION_TIME, 4_000).length).toEqual(1);
  });

  it('reaches the same crash count in whatever order records are original', () => {
    const servers = fc.array(fc.constantFrom<string>('s1', 's2', 's3', 's4'), { maxLength: 2 });
    const record = fc.record({
      ended: servers,
      exonerated: servers,
    });
    fc.assert(
      fc.property(fc.array(record, { maxLength: 6 }), fc.nat(), (records, seed) => {
        const original = records.map(({ ended, exonerated }) => ({ ...crashRecord(ended), exonerated }));
        const shuffled = [...original].sort((left, right) => {
          const weight = (one: CrashRecord): number => (original.indexOf(one) * 7_919 + seed) % 101;
          return weight(left) - weight(right);
        });
        const counts = [original, shuffled].map((order) => {
          const table = new CrashTable();
          order.forEach((one) => table.merge(one, 0));
          return table.crashCount(DEADLY);
        });
        expect(counts[0]).toEqual(counts[1] as number);
      }),
      { seed: 39, numRuns: 300 },
    );
  });
});
