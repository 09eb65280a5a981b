/**
 * Guards against a query of death: a request that crashes each server that begins to run it, and that its caller repeats
 * every three to five seconds. Each time the connection closes, the caller gets 502, and its next request goes to another
 * daemon, which sends it to whichever server owns the key by then.
 *
 * A daemon that treats the crash of a server as a lost attempt like any other keeps nothing of it after the request, so no
 * daemon knows what the same request did before, here or at another daemon. After three servers had crashed, the request
 * was sent to servers four more times; seven crashed in 12 s, and a tenth of the other requests of the service were
 * refused meanwhile. The attempts are at different daemons and 3.0 to 4.8 s apart, whereas a daemon's own retry follows
 * after 60 ms. In the simulation they show as `request_failed` log lines of different daemons with one fingerprint that end
 * in `lost: other side closed`.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RequestTraffic, BALANCED_SERVICE, type NamedRequest } from '../support/request-traffic.js';
import { RouterSimulation, SERVICE as KEYED } from '../support/router-simulation.js';

/** By then daemons have joined the propagation tree, and servers hold their keys. */
const SETTLING_TIME = 6_000;
const RUN_TIME = 45_000;
/** Shortest interval at which the caller repeats the request, and the most that is added to it. */
const MIN_REPEAT_INTERVAL = 2_800;
const REPEAT_INTERVAL_SPREAD = 2_000;
/** A daemon that has been connected for this long knows what the others have observed. */
const CONTACT_TIME = 3_000;
/** A request under which this many servers have crashed ... */
const CRASHES = 3;
/** ... reaches servers at most this many times from then on, over all daemons. */
const MAX_LATER_SENDS = 3;

const SEEDS = [1, 2, 3, 4];

function startOrdinaryTraffic(simulation: RouterSimulation, traffic: RequestTraffic): void {
  const next = (): void => {
    const index = simulation.random.integerBelow(10_000);
    const route = simulation.random.fraction() < 0.5 ? KEYED : BALANCED_SERVICE;
    const daemon = simulation.daemons[simulation.random.integerBelow(simulation.daemons.length)];
    if (daemon !== undefined) {
      traffic.sendRequest(daemon, { name: `r${index}`, route, key: 7 + 512 * (index % 128) });
    }
    simulation.clock.schedule(20, next);
  };
  simulation.clock.schedule(SETTLING_TIME, next);
}

/** Starts a caller that repeats the same request, each time at a random daemon. */
function startDeadlyCaller(
  simulation: RouterSimulation,
  traffic: RequestTraffic,
  request: NamedRequest,
): void {
  traffic.crashingRequests.add(request.name);
  const next = (): void => {
    const daemon = simulation.daemons[simulation.random.integerBelow(simulation.daemons.length)];
    if (daemon !== undefined) {
      traffic.sendRequest(daemon, request);
    }
    simulation.clock.schedule(
      MIN_REPEAT_INTERVAL + simulation.random.fraction() * REPEAT_INTERVAL_SPREAD,
      next,
    );
  };
  simulation.clock.schedule(SETTLING_TIME + 1_000, next);
}

/** Returns how often a request was sent later than the contact time after enough servers had crashed under it. */
function countLateSends(traffic: RequestTraffic, name: string): number {
  const crashes = traffic.crashes.filter((crash) => crash.name === name);
  const last = crashes[CRASHES - 1];
  if (last === undefined) {
    return 0;
  }
  return traffic.deliveries.filter((send) => send.name === name && send.at > last.at + CONTACT_TIME).length;
}

function simulate(seed: number, request: NamedRequest): RequestTraffic {
  const simulation = new RouterSimulation(seed, 5, 8);
  const traffic = new RequestTraffic(simulation, 8);
  startOrdinaryTraffic(simulation, traffic);
  startDeadlyCaller(simulation, traffic, request);
  simulation.clock.runUntil(RUN_TIME);
  return traffic;
}

describe('a request that crashes servers', () => {
  it('stops being sent to owners of its key', () => {
    for (const seed of SEEDS) {
      const traffic = simulate(seed, { name: 'deadly', route: KEYED, key: 7 });
      expect(traffic.crashes.length >= CRASHES).toEqual(true);
      expect(countLateSends(traffic, 'deadly') <= MAX_LATER_SENDS).toEqual(true);
    }
  });

  it('stops being sent to servers when any server can run it', () => {
    for (const seed of SEEDS) {
      const traffic = simulate(seed, { name: 'deadly', route: BALANCED_SERVICE, key: 7 });
      expect(traffic.crashes.length >= CRASHES).toEqual(true);
      expect(countLateSends(traffic, 'deadly') <= MAX_LATER_SENDS).toEqual(true);
    }
  });
});
