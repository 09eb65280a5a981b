/*
 * An overloaded server announces in its responses how many requests per second it accepts from all daemons together. Guards against daemons
 * that don't read the limit: two key owners that announced 3 and 3.5 requests per second still received ten. Daemons that had just forwarded
 * such responses sent every request that arrived, 38 in 4 s where 23 were allowed. The servers rejected none of them, and nothing was logged.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { allowed, LimitDay } from '../support/limit-day.js';
import type { ModelServer } from '../support/model-server.js';

const LIMITED_TIME = 10_000;

describe('key owners that announce a rate limit', () => {
  it('receive no more than the limit from daemons that know it', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = new LimitDay({ seed, daemons: 11, servers: 14, demand: 150 });
      const [first, second] = day.world.servers as [ModelServer, ModelServer];
      day.limit(first, 3);
      day.limit(second, 3.5);
      day.run(LIMITED_TIME);
      expect(day.counted(first) <= allowed(3)).toEqual(true);
      expect(day.counted(second) <= allowed(3.5)).toEqual(true);
      expect(day.world.checker.violations).toEqual([]);
    }
  });
});

describe('servers without keys that announce a rate limit', () => {
  it('receive no more than the limit from daemons that know it', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = new LimitDay({ seed, daemons: 11, servers: 3, plainServers: 6, demand: 90, isPlain: true });
      const limited = day.world.servers.slice(3, 5) as [ModelServer, ModelServer];
      limited.forEach((server) => day.limit(server, 3));
      day.run(LIMITED_TIME);
      limited.forEach((server) => expect(day.counted(server) <= allowed(3)).toEqual(true));
    }
  });
});
