/** Rate limits that change, and failures of daemons, leaders and the store while limits are in force. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import {
  maxRequestsInWindow,
  LimitSimulation,
  type LimitSimulationOptions,
} from '../support/limit-simulation.js';
import type { SimulatedServer } from '../support/simulated-server.js';
import type { SimulatedDaemon } from '../support/router-simulation.js';

const DEFAULTS: LimitSimulationOptions = { seed: 1, daemons: 11, servers: 6, demand: 90 };
const LIMIT = 3;

function startLimited(options: Partial<LimitSimulationOptions> = {}): {
  limitSimulation: LimitSimulation;
  servers: readonly SimulatedServer[];
} {
  const limitSimulation = new LimitSimulation({ ...DEFAULTS, ...options });
  const { servers } = limitSimulation.simulation;
  servers.forEach((server) => limitSimulation.limit(server, LIMIT));
  limitSimulation.run(3_000);
  return { limitSimulation, servers };
}

function expectRespected(
  limitSimulation: LimitSimulation,
  servers: readonly SimulatedServer[],
  limit = LIMIT,
): void {
  for (const server of servers) {
    expect(limitSimulation.counted(server) <= maxRequestsInWindow(limit)).toEqual(true);
  }
  expect(limitSimulation.simulation.checker.violations).toEqual([]);
}

/** Returns the requests per second at all servers since a time. */
function rateSince(
  limitSimulation: LimitSimulation,
  servers: readonly SimulatedServer[],
  from: number,
): number {
  const sends = servers.reduce((sum, server) => sum + limitSimulation.deliveriesTo(server, from).length, 0);
  return (sends * 1_000) / (limitSimulation.now - from);
}

function leaderOf(limitSimulation: LimitSimulation): SimulatedDaemon {
  return limitSimulation.simulation.leader() as SimulatedDaemon;
}

describe('rate limits during failures', () => {
  it('are respected after the loss of the leader, and used again under the next one', () => {
    const { limitSimulation, servers } = startLimited();
    leaderOf(limitSimulation).alive = false;
    limitSimulation.run(6_000);
    const from = limitSimulation.now;
    limitSimulation.run(4_000);
    expect(rateSince(limitSimulation, servers, from) > 0.8 * LIMIT * servers.length).toEqual(true);
    expectRespected(limitSimulation, servers);
  });

  it('are respected and used during an outage of the store', () => {
    const { limitSimulation, servers } = startLimited({
      servers: 0,
      balancedServers: 6,
      usesBalancedService: true,
    });
    limitSimulation.simulation.daemons.forEach((daemon) => (daemon.storeReachable = false));
    const from = limitSimulation.now;
    limitSimulation.run(12_000);
    expect(rateSince(limitSimulation, servers, from) > 0.8 * LIMIT * servers.length).toEqual(true);
    limitSimulation.simulation.daemons.forEach((daemon) => (daemon.storeReachable = true));
    limitSimulation.run(4_000);
    expectRespected(limitSimulation, servers);
  });

  it('are respected when daemons are disconnected: they take equal shares, and the leader grants the rest', () => {
    const { limitSimulation, servers } = startLimited({
      servers: 0,
      balancedServers: 6,
      usesBalancedService: true,
    });
    const cut = limitSimulation.simulation.daemons
      .filter((daemon) => daemon !== leaderOf(limitSimulation))
      .slice(0, 5);
    cut.forEach((daemon) => (daemon.peersReachable = false));
    const from = limitSimulation.now;
    limitSimulation.run(8_000);
    expect(rateSince(limitSimulation, servers, from) > 0.4 * LIMIT * servers.length).toEqual(true);
    cut.forEach((daemon) => (daemon.peersReachable = true));
    limitSimulation.run(4_000);
    expectRespected(limitSimulation, servers);
  });

  it('are respected when daemons are restarted one after the other', () => {
    const { limitSimulation, servers } = startLimited();
    for (const daemon of [...limitSimulation.simulation.daemons]) {
      daemon.alive = false;
      limitSimulation.run(300);
      limitSimulation.simulation.startDaemon(daemon);
      limitSimulation.run(700);
    }
    expectRespected(limitSimulation, servers);
  });

  it('are respected when daemons are suspended and resume with unused permits', () => {
    const { limitSimulation, servers } = startLimited();
    for (const daemon of limitSimulation.simulation.daemons.slice(0, 6)) {
      limitSimulation.simulation.suspend(daemon, 1_500);
      limitSimulation.run(400);
    }
    limitSimulation.run(4_000);
    expectRespected(limitSimulation, servers);
  });

  it('are respected when the number of daemons doubles', () => {
    const { limitSimulation, servers } = startLimited({ daemons: 20 });
    const late = limitSimulation.simulation.daemons
      .filter((daemon) => daemon !== leaderOf(limitSimulation))
      .slice(0, 10);
    late.forEach((daemon) => (daemon.alive = false));
    limitSimulation.run(12_000);
    late.forEach((daemon) => limitSimulation.simulation.startDaemon(daemon));
    limitSimulation.run(6_000);
    expectRespected(limitSimulation, servers);
  });

  it('are respected when they change within a second, end and begin again', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const { limitSimulation, servers } = startLimited({ seed });
      const random = new SeededRandom(seed);
      const choices = [0, 0.5, 1.25, 2, LIMIT];
      for (let step = 0; step < 30; step += 1) {
        const [server] = random.fraction() < 0.5 ? servers : [...servers].reverse();
        limitSimulation.limit(
          server as SimulatedServer,
          choices[Math.floor(random.fraction() * choices.length)] as number,
        );
        limitSimulation.run(100 + random.fraction() * 700);
      }
      expectRespected(limitSimulation, servers);
      servers.forEach((server) => limitSimulation.limit(server, null));
      limitSimulation.run(8_000);
      const from = limitSimulation.now;
      limitSimulation.run(3_000);
      expect(limitSimulation.answeredShare(from) > 0.95).toEqual(true);
    }
  });

  it('of zero allow occasional trial requests, whose responses show the end of the limit', () => {
    const limitSimulation = new LimitSimulation({
      ...DEFAULTS,
      servers: 0,
      balancedServers: 3,
      usesBalancedService: true,
      demand: 40,
    });
    const { servers } = limitSimulation.simulation;
    servers.forEach((server) => limitSimulation.limit(server, 0));
    limitSimulation.run(10_000);
    expectRespected(limitSimulation, servers, 0);
    servers.forEach((server) => limitSimulation.limit(server, null));
    limitSimulation.run(6_000);
    const from = limitSimulation.now;
    limitSimulation.run(3_000);
    expect(limitSimulation.answeredShare(from) > 0.95).toEqual(true);
  });

  it('are found to have ended at servers that receive no requests', () => {
    const limitSimulation = new LimitSimulation({
      ...DEFAULTS,
      servers: 0,
      balancedServers: 4,
      usesBalancedService: true,
      demand: 20,
    });
    // The server in the daemons' own zone, which gets nearly all requests before it drains.
    const [, , server] = limitSimulation.simulation.servers as [unknown, unknown, SimulatedServer];
    limitSimulation.limit(server, 1);
    limitSimulation.run(2_000);
    limitSimulation.simulation.drain(server.id);
    const isKnown = (): boolean =>
      limitSimulation.simulation.daemons.some(({ state }) => state.limits.of(server.id) !== null);
    limitSimulation.run(1_000);
    expect(isKnown()).toEqual(true);
    limitSimulation.limit(server, null);
    limitSimulation.run(4_000);
    expect(isKnown()).toEqual(false);
  });

  it('do not apply to a new incarnation of a server with the same name', () => {
    const { limitSimulation } = startLimited();
    const [server] = limitSimulation.simulation.servers as [SimulatedServer];
    const daemon = limitSimulation.simulation.daemons[3] as SimulatedDaemon;
    expect(daemon.state.limits.of(server.id)).toEqual(LIMIT);
    expect(daemon.state.limits.of(`${server.id}#7`)).toEqual(null);
  });

  it('are respected by a daemon that knows no other daemon, from its first response on', () => {
    const limitSimulation = new LimitSimulation({
      ...DEFAULTS,
      daemons: 1,
      servers: 0,
      balancedServers: 1,
      usesBalancedService: true,
      demand: 30,
    });
    const [server] = limitSimulation.simulation.servers as [SimulatedServer];
    limitSimulation.simulation.daemons.forEach((daemon) => (daemon.storeReachable = false));
    limitSimulation.limit(server, LIMIT);
    limitSimulation.run(10_000);
    expect(limitSimulation.deliveriesTo(server, limitSimulation.now - 8_000).length <= LIMIT * 8 + 2).toEqual(
      true,
    );
    expectRespected(limitSimulation, [server]);
  });
});
