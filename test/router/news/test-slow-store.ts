/** Guards against requests that are refused because the store answers slowly, though soon enough to confirm that the data is not too old. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { BoundedTraffic, type TrackedRequest } from '../support/bounded-traffic.js';
import { BOUNDS } from '../support/bounds.js';
import { BALANCED_SERVICE } from '../support/request-traffic.js';
import { RouterSimulation } from '../support/router-simulation.js';
import type { SimulatedServer } from '../support/simulated-server.js';

const DAEMONS = 40;
const SERVERS_PER_SERVICE = 12;
/** By then daemons have joined the propagation tree. */
const SETTLING_TIME = 8_000;
const RUN_TIME = 32_000;
/** Mean delays of the store's responses, in milliseconds, up to one that leaves no time before data is too old. */
const RESPONSE_DELAYS = [200, 300, 350, 400, 450, 500, 600, 800, 1_000, 1_200];
const SEEDS = [1, 2];
const RELEASE_INTERVAL = 1_500;
/** The entry of a draining server is removed this much later. */
const DRAINED_ENTRY_LIFETIME = 6_000;
/** Refused requests that are allowed in any case, and the share of all requests that may be refused beyond them. */
const ALLOWED_REFUSALS = 5;
const ALLOWED_REFUSED_SHARE = 1 / 500;

interface Scene {
  readonly simulation: RouterSimulation;
  readonly traffic: BoundedTraffic;
}

function createScene(seed: number, responseDelay: number): Scene {
  const simulation = new RouterSimulation(seed, DAEMONS, SERVERS_PER_SERVICE);
  const traffic = new BoundedTraffic(simulation, SERVERS_PER_SERVICE);
  simulation.clock.runUntil(SETTLING_TIME);
  simulation.store.responseDelay = responseDelay;
  traffic.start();
  return { simulation, traffic };
}

/** Returns the requests whose callers no longer wait. */
function finishedRequests({ simulation, traffic }: Scene): TrackedRequest[] {
  return traffic.requests.filter(({ sentAt }) => sentAt < simulation.clock.now - BOUNDS.contact);
}

function countRefused(requests: readonly TrackedRequest[]): number {
  return requests.filter(({ reachedServerAt }) => reachedServerAt === null).length;
}

function balancedServers({ simulation }: Scene): SimulatedServer[] {
  return simulation.servers.filter(({ address }) => address.startsWith('10.0.3.'));
}

/** Drains one balanced server after another and adds one for each. */
function simulateReleases(scene: Scene): void {
  const { simulation, traffic } = scene;
  const end = simulation.clock.now + RUN_TIME;
  for (let release = 0; simulation.clock.now < end; release += 1) {
    const oldest = balancedServers(scene)[release] as SimulatedServer;
    traffic.drain(oldest);
    simulation.clock.schedule(DRAINED_ENTRY_LIFETIME, () => simulation.removeEntry(oldest.id));
    simulation.addServer(`10.0.3.${100 + release}:80`, BALANCED_SERVICE);
    simulation.clock.runUntil(simulation.clock.now + RELEASE_INTERVAL);
  }
}

describe('daemons whose store answers slowly', () => {
  for (const responseDelay of RESPONSE_DELAYS) {
    it(`refuse no more requests than with a fast one: ${responseDelay} ms`, () => {
      for (const seed of SEEDS) {
        const scene = createScene(seed, responseDelay);
        scene.simulation.clock.runUntil(SETTLING_TIME + RUN_TIME);
        const requests = finishedRequests(scene);
        const allowed = ALLOWED_REFUSALS + ALLOWED_REFUSED_SHARE * requests.length;
        expect([seed, Math.max(countRefused(requests), allowed)]).toEqual([seed, allowed]);
      }
    });

    it(`send nothing past a bound: ${responseDelay} ms`, () => {
      const scene = createScene(1, responseDelay);
      simulateReleases(scene);
      expect(scene.traffic.checks.lateSends).toEqual([]);
    });
  }
});
