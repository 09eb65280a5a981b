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
  day: LimitSimulation;
  servers: readonly SimulatedServer[];
} {
  const day = new LimitSimulation({ ...DEFAULTS, ...options });
  const { servers } = day.simulation;
  servers.forEach((server) => day.limit(server, LIMIT));
  day.run(3_000);
  return { day, servers };
}

function expectRespected(day: LimitSimulation, servers: readonly SimulatedServer[], limit = LIMIT): void {
  for (const server of servers) {
    expect(day.counted(server) <= maxRequestsInWindow(limit)).toEqual(true);
  }
  expect(day.simulation.checker.violations).toEqual([]);
}

/** Returns the requests per second at all servers since a time. */
function rateSince(day: LimitSimulation, servers: readonly SimulatedServer[], from: number): number {
  const sends = servers.reduce((sum, server) => sum + day.deliveriesTo(server, from).length, 0);
  return (sends * 1_000) / (day.now - from);
}

function leaderOf(day: LimitSimulation): SimulatedDaemon {
  return day.simulation.leader() as SimulatedDaemon;
}

describe('rate limits during failures', () => {
  it('are respected after the loss of the leader, and used again under the next one', () => {
    const { day, servers } = startLimited();
    leaderOf(day).alive = false;
    day.run(6_000);
    const from = day.now;
    day.run(4_000);
    expect(rateSince(day, servers, from) > 0.8 * LIMIT * servers.length).toEqual(true);
    expectRespected(day, servers);
  });

  it('are respected and used during an outage of the store', () => {
    const { day, servers } = startLimited({ servers: 0, balancedServers: 6, usesBalancedService: true });
    day.simulation.daemons.forEach((daemon) => (daemon.storeReachable = false));
    const from = day.now;
    day.run(12_000);
    expect(rateSince(day, servers, from) > 0.8 * LIMIT * servers.length).toEqual(true);
    day.simulation.daemons.forEach((daemon) => (daemon.storeReachable = true));
    day.run(4_000);
    expectRespected(day, servers);
  });

  it('are respected when daemons are disconnected: they take equal shares, and the leader grants the rest', () => {
    const { day, servers } = startLimited({ servers: 0, balancedServers: 6, usesBalancedService: true });
    const cut = day.simulation.daemons.filter((daemon) => daemon !== leaderOf(day)).slice(0, 5);
    cut.forEach((daemon) => (daemon.peersReachable = false));
    const from = day.now;
    day.run(8_000);
    expect(rateSince(day, servers, from) > 0.4 * LIMIT * servers.length).toEqual(true);
    cut.forEach((daemon) => (daemon.peersReachable = true));
    day.run(4_000);
    expectRespected(day, servers);
  });

  it('are respected when daemons are restarted one after the other', () => {
    const { day, servers } = startLimited();
    for (const daemon of [...day.simulation.daemons]) {
      daemon.alive = false;
      day.run(300);
      day.simulation.startDaemon(daemon);
      day.run(700);
    }
    expectRespected(day, servers);
  });

  it('are respected when daemons are suspended and resume with unused permits', () => {
    const { day, servers } = startLimited();
    for (const daemon of day.simulation.daemons.slice(0, 6)) {
      day.simulation.suspend(daemon, 1_500);
      day.run(400);
    }
    day.run(4_000);
    expectRespected(day, servers);
  });

  it('are respected when the number of daemons doubles', () => {
    const { day, servers } = startLimited({ daemons: 20 });
    const late = day.simulation.daemons.filter((daemon) => daemon !== leaderOf(day)).slice(0, 10);
    late.forEach((daemon) => (daemon.alive = false));
    day.run(12_000);
    late.forEach((daemon) => day.simulation.startDaemon(daemon));
    day.run(6_000);
    expectRespected(day, servers);
  });

  it('are respected when they change within a second, end and begin again', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const { day, servers } = startLimited({ seed });
      const random = new SeededRandom(seed);
      const choices = [0, 0.5, 1.25, 2, LIMIT];
      for (let step = 0; step < 30; step += 1) {
        const [server] = random.fraction() < 0.5 ? servers : [...servers].reverse();
        day.limit(
          server as SimulatedServer,
          choices[Math.floor(random.fraction() * choices.length)] as number,
        );
        day.run(100 + random.fraction() * 700);
      }
      expectRespected(day, servers);
      servers.forEach((server) => day.limit(server, null));
      day.run(8_000);
      const from = day.now;
      day.run(3_000);
      expect(day.answeredShare(from) > 0.95).toEqual(true);
    }
  });

  it('of zero allow occasional trial requests, whose responses show the end of the limit', () => {
    const day = new LimitSimulation({
      ...DEFAULTS,
      servers: 0,
      balancedServers: 3,
      usesBalancedService: true,
      demand: 40,
    });
    const { servers } = day.simulation;
    servers.forEach((server) => day.limit(server, 0));
    day.run(10_000);
    expectRespected(day, servers, 0);
    servers.forEach((server) => day.limit(server, null));
    day.run(6_000);
    const from = day.now;
    day.run(3_000);
    expect(day.answeredShare(from) > 0.95).toEqual(true);
  });

  it('are found to have ended at servers that receive no requests', () => {
    const day = new LimitSimulation({
      ...DEFAULTS,
      servers: 0,
      balancedServers: 4,
      usesBalancedService: true,
      demand: 20,
    });
    const [server] = day.simulation.servers as [SimulatedServer];
    day.limit(server, 1);
    day.run(2_000);
    day.simulation.drain(server.id);
    const isKnown = (): boolean =>
      day.simulation.daemons.some(({ state }) => state.limits.of(server.id) !== null);
    day.run(1_000);
    expect(isKnown()).toEqual(true);
    day.limit(server, null);
    day.run(4_000);
    expect(isKnown()).toEqual(false);
  });

  it('do not apply to a new incarnation of a server with the same name', () => {
    const { day } = startLimited();
    const [server] = day.simulation.servers as [SimulatedServer];
    const daemon = day.simulation.daemons[3] as SimulatedDaemon;
    expect(daemon.state.limits.of(server.id)).toEqual(LIMIT);
    expect(daemon.state.limits.of(`${server.id}#7`)).toEqual(null);
  });

  it('are respected by a daemon that knows no other daemon, from its first response on', () => {
    const day = new LimitSimulation({
      ...DEFAULTS,
      daemons: 1,
      servers: 0,
      balancedServers: 1,
      usesBalancedService: true,
      demand: 30,
    });
    const [server] = day.simulation.servers as [SimulatedServer];
    day.simulation.daemons.forEach((daemon) => (daemon.storeReachable = false));
    day.limit(server, LIMIT);
    day.run(10_000);
    expect(day.deliveriesTo(server, day.now - 8_000).length <= LIMIT * 8 + 2).toEqual(true);
    expectRespected(day, [server]);
  });
});
