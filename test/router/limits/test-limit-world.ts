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
      const limitSimulation = new LimitSimulation({ seed, daemons: 11, servers: 14, demand: 150 });
      const [first, second] = limitSimulation.simulation.servers as [SimulatedServer, SimulatedServer];
      limitSimulation.limit(first, 3);
      limitSimulation.limit(second, 3.5);
      limitSimulation.run(LIMITED_TIME);
      expect(limitSimulation.counted(first) <= maxRequestsInWindow(3)).toEqual(true);
      expect(limitSimulation.counted(second) <= maxRequestsInWindow(3.5)).toEqual(true);
      expect(limitSimulation.simulation.checker.violations).toEqual([]);
    }
  });
});

describe('servers without keys that announce a rate limit', () => {
  it('receive no more than the limit from daemons that know it', () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const limitSimulation = new LimitSimulation({
        seed,
        daemons: 11,
        servers: 3,
        balancedServers: 6,
        demand: 90,
        usesBalancedService: true,
      });
      const limited = limitSimulation.simulation.servers.slice(3, 5) as [SimulatedServer, SimulatedServer];
      limited.forEach((server) => limitSimulation.limit(server, 3));
      limitSimulation.run(LIMITED_TIME);
      limited.forEach((server) =>
        expect(limitSimulation.counted(server) <= maxRequestsInWindow(3)).toEqual(true),
      );
    }
  });
});
