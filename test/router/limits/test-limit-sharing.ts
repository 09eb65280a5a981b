/** How much of a rate limit is used with few and many daemons, and that servers receive no more than it allows. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { maxRequestsInWindow, LimitSimulation } from '../support/limit-simulation.js';
import type { SimulatedServer } from '../support/simulated-server.js';

const SERVERS = 6;
/** Demand as a multiple of the limits: far more requests than the limits allow. */
const DEMAND_FACTOR = 4;
const MEASURED_TIME = 10_000;
const SECOND = 1_000;

interface LimitUse {
  /** Fraction of the limits that was used in the first second. */
  readonly firstSecond: number;
  /** Fraction of the limits that was used from the third second on. */
  readonly fromThirdSecond: number;
  /** Most requests that any server received in a window in which its limit is checked. */
  readonly mostInWindow: number;
}

/** Simulates a service whose servers all announce a limit, with more demand than the limits allow. */
function simulateAllLimited(daemons: number, asked: number, limit: number, isPlain: boolean): LimitUse {
  const demand = SERVERS * limit * DEMAND_FACTOR;
  const plainServers = isPlain ? SERVERS : 0;
  const limitSimulation = new LimitSimulation({
    seed: 1,
    daemons,
    servers: SERVERS,
    balancedServers: plainServers,
    demand,
    requestedDaemons: asked,
    usesBalancedService: isPlain,
  });
  const servers = limitSimulation.simulation.servers.slice(plainServers === 0 ? 0 : SERVERS);
  servers.forEach((server) => limitSimulation.limit(server, limit));
  const usedSince = (from: number): number =>
    servers.reduce((sum, server) => sum + limitSimulation.deliveriesTo(server, from).length, 0) /
    (SERVERS * limit);
  const begin = limitSimulation.now;
  limitSimulation.run(SECOND);
  const firstSecond = usedSince(begin);
  limitSimulation.run(SECOND);
  const from = limitSimulation.now;
  limitSimulation.run(MEASURED_TIME);
  const mostInWindow = Math.max(...servers.map((server) => limitSimulation.counted(server)));
  return { firstSecond, fromThirdSecond: usedSince(from) / (MEASURED_TIME / SECOND), mostInWindow };
}

describe('the capacity that rate limits allow', () => {
  for (const isPlain of [false, true]) {
    const serverType = isPlain ? 'servers without keys' : 'key owners';
    for (const daemons of [5, 11, 40, 195]) {
      it(`is used and not exceeded with ${daemons} daemons that all have too many requests for ${serverType}`, () => {
        const { fromThirdSecond, mostInWindow } = simulateAllLimited(daemons, daemons, 3, isPlain);
        expect(fromThirdSecond >= 0.9 && fromThirdSecond <= 1.05).toEqual(true);
        expect(mostInWindow <= maxRequestsInWindow(3)).toEqual(true);
      });
    }

    it(`is used within a second if one daemon of 11 has all requests for ${serverType}`, () => {
      const { firstSecond, fromThirdSecond, mostInWindow } = simulateAllLimited(11, 1, 3, isPlain);
      expect(firstSecond >= 0.5).toEqual(true);
      expect(fromThirdSecond >= 0.9).toEqual(true);
      expect(mostInWindow <= maxRequestsInWindow(3)).toEqual(true);
    });
  }

  it('is used with a low limit: one request in two seconds for 40 daemons', () => {
    const { fromThirdSecond, mostInWindow } = simulateAllLimited(40, 40, 0.5, false);
    expect(fromThirdSecond >= 0.8).toEqual(true);
    expect(mostInWindow <= maxRequestsInWindow(0.5)).toEqual(true);
  });

  it('delays no request that it cannot serve in time: the request is rejected at once with a retry time', () => {
    const limitSimulation = new LimitSimulation({ seed: 2, daemons: 11, servers: SERVERS, demand: 120 });
    limitSimulation.simulation.servers.forEach((server: SimulatedServer) => limitSimulation.limit(server, 2));
    limitSimulation.run(2_000);
    const before = limitSimulation.traffic.responseTimes.length;
    limitSimulation.run(4_000);
    const refused = limitSimulation.traffic.responseTimes
      .slice(before)
      .filter(({ status }) => status === 503);
    expect(refused.length > 100).toEqual(true);
    const mean = refused.reduce((sum, { waited }) => sum + waited, 0) / refused.length;
    expect(mean < 10).toEqual(true);
    expect(refused.every(({ retryAfter }) => (retryAfter ?? 0) > 0)).toEqual(true);
    const times = new Set(refused.map(({ retryAfter }) => Math.round(retryAfter ?? 0)));
    expect(times.size > 50).toEqual(true);
  });
});
