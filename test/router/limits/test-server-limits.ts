import { expect } from 'earl';
import { describe, it } from 'node:test';
import { ServerLimits } from '../../../src/router/limits/server-limits.js';

const SERVER = 's1';

describe('what a daemon knows of limits', () => {
  it('begins with the first answer that names one, and ends with the first to a later request that names none', () => {
    const limits = new ServerLimits();
    expect(limits.read(SERVER, 3, 900, 1_000)).toEqual({ server: SERVER, former: null, rate: 3 });
    expect(limits.of(SERVER)).toEqual(3);
    expect(limits.read(SERVER, null, 1_100, 1_200)).toEqual({ server: SERVER, former: 3, rate: null });
    expect(limits.of(SERVER)).toEqual(null);
  });

  it('does not end by an answer to a request that was sent before the limit was last named', () => {
    const limits = new ServerLimits();
    limits.read(SERVER, 3, 900, 1_000);
    limits.read(SERVER, 3, 1_050, 1_100);
    expect(limits.read(SERVER, null, 1_090, 1_300)).toEqual(null);
    expect(limits.of(SERVER)).toEqual(3);
  });

  it('falls at once, and rises only by the answer to a later request', () => {
    const limits = new ServerLimits();
    limits.read(SERVER, 5, 900, 1_000);
    expect(limits.read(SERVER, 3, 950, 1_010)?.rate).toEqual(3);
    expect(limits.read(SERVER, 5, 1_005, 1_020)).toEqual(null);
    expect(limits.read(SERVER, 5, 1_015, 1_030)?.rate).toEqual(5);
  });

  it('may go up, down, end and come back within a second', () => {
    const limits = new ServerLimits();
    const rates = [3, 6, 2, null, 4, null, 0].map((rate, index) => {
      const at = 1_000 + index * 100;
      return limits.read(SERVER, rate, at - 50, at)?.rate;
    });
    expect(rates).toEqual([3, 6, 2, null, 4, null, 0]);
    expect(limits.of(SERVER)).toEqual(0);
  });

  it('takes the later of what two daemons saw, in either order', () => {
    const named = { server: SERVER, limit: { rate: 3 }, age: 100 };
    const ended = { server: SERVER, limit: null, age: 50 };
    for (const words of [
      [named, ended],
      [ended, named],
    ]) {
      const limits = new ServerLimits();
      words.forEach((word) => limits.hear(word, 2_000));
      expect(limits.of(SERVER)).toEqual(null);
    }
  });

  it('calls a statement behind that says something else and is older', () => {
    const limits = new ServerLimits();
    limits.read(SERVER, 3, 900, 1_000);
    expect(limits.isBehind({ server: SERVER, limit: null, age: 100 }, 1_050)).toEqual(true);
    expect(limits.isBehind({ server: SERVER, limit: null, age: 10 }, 1_050)).toEqual(false);
    expect(limits.isBehind({ server: SERVER, limit: { rate: 3 }, age: 100 }, 1_050)).toEqual(false);
  });

  it('forgets a limit that nobody has heard of for a minute, and not before', () => {
    const limits = new ServerLimits();
    limits.read(SERVER, 3, 900, 1_000);
    expect(limits.expire(60_000)).toEqual([]);
    expect(limits.of(SERVER)).toEqual(3);
    expect(limits.expire(62_000)).toEqual([{ server: SERVER, former: 3, rate: null }]);
    expect(limits.of(SERVER)).toEqual(null);
  });

  it('is another one for another life of the server', () => {
    const limits = new ServerLimits();
    limits.read('s1#1', 3, 900, 1_000);
    expect(limits.of('s1#2')).toEqual(null);
  });

  it('tells since when a limit has been in force, whatever it was in between', () => {
    const limits = new ServerLimits();
    limits.read(SERVER, 3, 900, 1_000);
    limits.read(SERVER, 2, 1_900, 2_000);
    expect(limits.inForce.get(SERVER)?.since).toEqual(1_000);
  });

  it('is bounded', () => {
    const limits = new ServerLimits();
    for (let index = 0; index < 2_000; index += 1) {
      limits.read(`s${index}`, 1, 900, 1_000);
    }
    expect(limits.statement(1_000).length).toEqual(512);
  });
});
