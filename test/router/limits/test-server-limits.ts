import { expect } from 'earl';
import { describe, it } from 'node:test';
import { ServerLimits } from '../../../src/router/limits/server-limits.js';

const SERVER = 's1';

describe('the rate limit of a server, as a daemon knows it', () => {
  it('begins with the first response that announces it, and ends with the first response to a later request that does not', () => {
    const limits = new ServerLimits();
    expect(limits.recordReading(SERVER, 3, 900, 1_000)).toEqual({ server: SERVER, former: null, rate: 3 });
    expect(limits.of(SERVER)).toEqual(3);
    expect(limits.recordReading(SERVER, null, 1_100, 1_200)).toEqual({
      server: SERVER,
      former: 3,
      rate: null,
    });
    expect(limits.of(SERVER)).toEqual(null);
  });

  it('does not end with a response to a request sent before the limit was last confirmed', () => {
    const limits = new ServerLimits();
    limits.recordReading(SERVER, 3, 900, 1_000);
    limits.recordReading(SERVER, 3, 1_050, 1_100);
    expect(limits.recordReading(SERVER, null, 1_090, 1_300)).toEqual(null);
    expect(limits.of(SERVER)).toEqual(3);
  });

  it('decreases at once, and increases only with the response to a later request', () => {
    const limits = new ServerLimits();
    limits.recordReading(SERVER, 5, 900, 1_000);
    expect(limits.recordReading(SERVER, 3, 950, 1_010)?.rate).toEqual(3);
    expect(limits.recordReading(SERVER, 5, 1_005, 1_020)).toEqual(null);
    expect(limits.recordReading(SERVER, 5, 1_015, 1_030)?.rate).toEqual(5);
  });

  it('can increase, decrease, end and begin again within a second', () => {
    const limits = new ServerLimits();
    const rates = [3, 6, 2, null, 4, null, 0].map((rate, index) => {
      const at = 1_000 + index * 100;
      return limits.recordReading(SERVER, rate, at - 50, at)?.rate;
    });
    expect(rates).toEqual([3, 6, 2, null, 4, null, 0]);
    expect(limits.of(SERVER)).toEqual(0);
  });

  it('follows the more recent statement of two daemons, whichever arrives first', () => {
    const named = { server: SERVER, limit: { rate: 3 }, age: 100 };
    const ended = { server: SERVER, limit: null, age: 50 };
    for (const statements of [
      [named, ended],
      [ended, named],
    ]) {
      const limits = new ServerLimits();
      statements.forEach((statement) => limits.mergeStatement(statement, 2_000));
      expect(limits.of(SERVER)).toEqual(null);
    }
  });

  it('makes a statement outdated that is older and differs', () => {
    const limits = new ServerLimits();
    limits.recordReading(SERVER, 3, 900, 1_000);
    expect(limits.isOutdated({ server: SERVER, limit: null, age: 100 }, 1_050)).toEqual(true);
    expect(limits.isOutdated({ server: SERVER, limit: null, age: 10 }, 1_050)).toEqual(false);
    expect(limits.isOutdated({ server: SERVER, limit: { rate: 3 }, age: 100 }, 1_050)).toEqual(false);
  });

  it('is removed after a minute without confirmation, and not before', () => {
    const limits = new ServerLimits();
    limits.recordReading(SERVER, 3, 900, 1_000);
    expect(limits.removeExpired(60_000)).toEqual([]);
    expect(limits.of(SERVER)).toEqual(3);
    expect(limits.removeExpired(62_000)).toEqual([{ server: SERVER, former: 3, rate: null }]);
    expect(limits.of(SERVER)).toEqual(null);
  });

  it('does not apply to another incarnation of the server', () => {
    const limits = new ServerLimits();
    limits.recordReading('s1#1', 3, 900, 1_000);
    expect(limits.of('s1#2')).toEqual(null);
  });

  it('keeps the time at which it began when its value changes', () => {
    const limits = new ServerLimits();
    limits.recordReading(SERVER, 3, 900, 1_000);
    limits.recordReading(SERVER, 2, 1_900, 2_000);
    expect(limits.inForce.get(SERVER)?.since).toEqual(1_000);
  });

  it('is kept for a bounded number of servers', () => {
    const limits = new ServerLimits();
    for (let index = 0; index < 2_000; index += 1) {
      limits.recordReading(`s${index}`, 1, 900, 1_000);
    }
    expect(limits.statement(1_000).length).toEqual(512);
  });
});
