import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import { RequestTraffic, type Delivery } from '../support/request-traffic.js';
import { type SimulatedDaemon, RouterSimulation, SERVICE } from '../support/router-simulation.js';

const DAEMONS = 6;
const SERVERS = 10;
const FAULTY_SERVERS = 3;
const SETTLING_TIME = 6_000;
/** The faulty servers reject every request for this long, and ask for a back-off of BACK_OFF each time. */
const FAULT_TIME = 9_000;
/** Least share of all requests meanwhile that are answered. It is 0.87 when keys stay with such owners. */
const MIN_SERVED_SHARE = 0.9;
const BACK_OFF = 3_000;
const TRANSIT_TIME = 500;
const MAX_ARRIVALS_IN_BACK_OFF = 2;
/** Time between two requests at each daemon: 150 per second over all daemons. */
const REQUEST_INTERVAL = 40;

interface Outcome {
  /** Share of the requests during the fault that were answered. */
  readonly servedShare: number;
  /** Number of requests that arrived during back-offs, beyond those that are allowed. */
  readonly excessArrivals: number;
}

/** Simulates owners of keys that reject every request for a time. */
function simulateBackOff(seed: number): Outcome {
  const simulation = new RouterSimulation(seed, DAEMONS, SERVERS);
  const traffic = new RequestTraffic(simulation, 0);
  const random = new SeededRandom(seed);
  const ask = (daemon: SimulatedDaemon): void => {
    traffic.sendRequest(daemon, {
      name: 'r',
      route: SERVICE,
      key: Math.floor(random.fraction() * 128) * 512 + 7,
    });
    simulation.clock.schedule(REQUEST_INTERVAL, () => ask(daemon));
  };
  simulation.daemons.forEach((daemon, index) =>
    simulation.clock.schedule(2_000 + index * 7, () => ask(daemon)),
  );
  simulation.clock.runUntil(SETTLING_TIME);
  const before = traffic.responses.length;
  const faulty = simulation.servers.slice(0, FAULTY_SERVERS);
  faulty.forEach((server) => traffic.backOffs.set(server, BACK_OFF));
  simulation.clock.runUntil(SETTLING_TIME + FAULT_TIME);
  traffic.backOffs.clear();
  const told = traffic.responses.slice(before);
  expect(simulation.checker.violations).toEqual([]);
  const ids = new Set(faulty.map(({ id }) => id));
  const sends = traffic.deliveries.filter(({ server, at }) => ids.has(server) && at >= SETTLING_TIME);
  simulation.clock.runUntil(SETTLING_TIME + FAULT_TIME + 8_000);
  expect(traffic.responses.slice(-100).filter(({ status }) => status === 200).length > 95).toEqual(true);
  return {
    servedShare: told.filter(({ status }) => status === 200).length / told.length,
    excessArrivals: countExcessArrivals(sends),
  };
}

function countExcessArrivals(sends: readonly Delivery[]): number {
  let excessArrivals = 0;
  for (const first of sends) {
    const within = sends.filter(
      ({ server, daemon, at }) =>
        server === first.server &&
        daemon === first.daemon &&
        at > first.at + TRANSIT_TIME &&
        at < first.at + BACK_OFF,
    );
    excessArrivals += Math.max(0, within.length - MAX_ARRIVALS_IN_BACK_OFF);
  }
  return excessArrivals;
}

describe('owners of keys that reject every request and ask for a back-off', () => {
  it('get no request during the back-off, and other servers serve their keys', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const { servedShare, excessArrivals } = simulateBackOff(seed);
      expect(excessArrivals).toEqual(0);
      expect(servedShare > MIN_SERVED_SHARE).toEqual(true);
    }
  });
});
