/*
 * A server in need names in its answers how many requests a second it takes from all daemons together. Two owners of keys that named 3 and 3.5 a
 * second went on getting ten: nothing read the limit, so that daemons which had just passed such answers on sent what came, 38 requests in
 * 4 s where 23 were allowed. The servers rejected none of it, and no line of the logs told of anything.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { allowed, LimitDay } from '../support/limit-day.js';
import type { ModelServer } from '../support/model-server.js';

const LIMITED_FOR = 10_000;

describe('owners of keys that name a limit', () => {
  it('get no more from the daemons that were told', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = new LimitDay({ seed, daemons: 11, servers: 14, demand: 150 });
      const [first, second] = day.world.servers as [ModelServer, ModelServer];
      day.limit(first, 3);
      day.limit(second, 3.5);
      day.run(LIMITED_FOR);
      expect(day.counted(first) <= allowed(3)).toEqual(true);
      expect(day.counted(second) <= allowed(3.5)).toEqual(true);
      expect(day.world.checker.violations).toEqual([]);
    }
  });
});

describe('servers that share their work and name a limit', () => {
  it('get no more either', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = new LimitDay({ seed, daemons: 11, servers: 3, plainServers: 6, demand: 90, isPlain: true });
      const limited = day.world.servers.slice(3, 5) as [ModelServer, ModelServer];
      limited.forEach((server) => day.limit(server, 3));
      day.run(LIMITED_FOR);
      limited.forEach((server) => expect(day.counted(server) <= allowed(3)).toEqual(true));
    }
  });
});
