/** How much of a limit is used, by few and by many daemons, and what nobody may get beyond it. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { allowed, LimitDay } from '../support/limit-day.js';
import type { ModelServer } from '../support/model-server.js';

const SERVERS = 6;
/** Requests for each that a limit leaves: far more than fit. */
const OVERLOAD = 4;
const MEASURED = 10_000;
const SECOND = 1_000;

interface Use {
  /** Part of the places of the first second that were used. */
  readonly firstSecond: number;
  /** Part of the places that were used from the third second on. */
  readonly later: number;
  /** The most that any server got in a window that counts. */
  readonly worst: number;
}

/** All servers of a service name a limit, and are asked for more. */
function playAllLimited(daemons: number, asked: number, limit: number, isPlain: boolean): Use {
  const demand = SERVERS * limit * OVERLOAD;
  const plainServers = isPlain ? SERVERS : 0;
  const day = new LimitDay({ seed: 1, daemons, servers: SERVERS, plainServers, demand, asked, isPlain });
  const servers = day.world.servers.slice(plainServers === 0 ? 0 : SERVERS);
  servers.forEach((server) => day.limit(server, limit));
  const usedSince = (from: number): number =>
    servers.reduce((sum, server) => sum + day.sendsTo(server, from).length, 0) / (SERVERS * limit);
  const begin = day.now;
  day.run(SECOND);
  const firstSecond = usedSince(begin);
  day.run(SECOND);
  const from = day.now;
  day.run(MEASURED);
  const worst = Math.max(...servers.map((server) => day.counted(server)));
  return { firstSecond, later: usedSince(from) / (MEASURED / SECOND), worst };
}

describe('the places that limits leave', () => {
  for (const isPlain of [false, true]) {
    const kind = isPlain ? 'servers that share their work' : 'owners of keys';
    for (const daemons of [5, 11, 40, 195]) {
      it(`are used, and no more, with ${daemons} daemons that all have too many requests for ${kind}`, () => {
        const { later, worst } = playAllLimited(daemons, daemons, 3, isPlain);
        expect(later >= 0.9 && later <= 1.05).toEqual(true);
        expect(worst <= allowed(3)).toEqual(true);
      });
    }

    it(`are used within a second where one daemon of 11 has all requests for ${kind}`, () => {
      const { firstSecond, later, worst } = playAllLimited(11, 1, 3, isPlain);
      expect(firstSecond >= 0.5).toEqual(true);
      expect(later >= 0.9).toEqual(true);
      expect(worst <= allowed(3)).toEqual(true);
    });
  }

  it('are used where they are few: one request in two seconds, of 40 daemons', () => {
    const { later, worst } = playAllLimited(40, 40, 0.5, false);
    expect(later >= 0.8).toEqual(true);
    expect(worst <= allowed(0.5)).toEqual(true);
  });

  it('are not waited for by requests that come too late for them: they are refused at once, with a time to come back', () => {
    const day = new LimitDay({ seed: 2, daemons: 11, servers: SERVERS, demand: 120 });
    day.world.servers.forEach((server: ModelServer) => day.limit(server, 2));
    day.run(2_000);
    const before = day.traffic.waits.length;
    day.run(4_000);
    const refused = day.traffic.waits.slice(before).filter(({ status }) => status === 503);
    expect(refused.length > 100).toEqual(true);
    const mean = refused.reduce((sum, { waited }) => sum + waited, 0) / refused.length;
    expect(mean < 10).toEqual(true);
    expect(refused.every(({ retryAfter }) => (retryAfter ?? 0) > 0)).toEqual(true);
    const times = new Set(refused.map(({ retryAfter }) => Math.round(retryAfter ?? 0)));
    expect(times.size > 50).toEqual(true);
  });
});
