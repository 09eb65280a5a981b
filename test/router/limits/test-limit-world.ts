/*
 * An overloaded server announces in its responses how many requests per second it accepts from all daemons together. Guards against daemons
 * that don't read the limit: two key owners that announced 3 and 3.5 requests per second still received ten. Daemons that had just forwarded
 * such responses sent every request that arrived, 38 in 4 s where 23 were allowed. The servers rejected none of them, and nothing was logged.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { maxRequestsInWindow, LimitSimulation } from '../support/limit-simulation.js';
import type { SimulatedServer } from '../support/simulated-server.js';

const LIMITED_TIME = 10_000;

describe('key owners that announce a rate limit', () => {
  it('receive no more than the limit from daemons that know it', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = new LimitSimulation({ seed, daemons: 11, servers: 14, demand: 150 });
      const [first, second] = day.simulation.servers as [SimulatedServer, SimulatedServer];
      day.limit(first, 3);
      day.limit(second, 3.5);
      day.run(LIMITED_TIME);
      expect(day.counted(first) <= maxRequestsInWindow(3)).toEqual(true);
      expect(day.counted(second) <= maxRequestsInWindow(3.5)).toEqual(true);
      expect(day.simulation.checker.violations).toEqual([]);
    }
  });
});

describe('servers without keys that announce a rate limit', () => {
  it('receive no more than the limit from daemons that know it', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const day = new LimitSimulation({
        seed,
        daemons: 11,
        servers: 3,
        balancedServers: 6,
        demand: 90,
        usesBalancedService: true,
      });
      const limited = day.simulation.servers.slice(3, 5) as [SimulatedServer, SimulatedServer];
      limited.forEach((server) => day.limit(server, 3));
      day.run(LIMITED_TIME);
      limited.forEach((server) => expect(day.counted(server) <= maxRequestsInWindow(3)).toEqual(true));
    }
  });
});
