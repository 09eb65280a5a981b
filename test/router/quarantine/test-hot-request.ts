import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RequestTraffic } from '../support/request-traffic.js';
import { type SimulatedDaemon, RouterSimulation, SERVICE } from '../support/router-simulation.js';

const SETTLING_TIME = 6_000;
const HOT = { name: 'hot', route: SERVICE, key: 7 };
const COLD = { name: 'cold', route: SERVICE, key: 7 };
/** Time between two requests to one daemon: the key's owner has copies of the request in flight all the time. */
const REQUEST_INTERVAL = 150;
const CRASHES = 3;
const CRASH_INTERVAL = 7_000;
/**
 * Least share of requests that are answered. The owners are overloaded: the share is 0.25 when no request is held back. When
 * a held-back request is never sent again, three of these seeds have 0.09 or less.
 */
const MIN_ANSWERED_SHARE = 0.2;

/** Returns the share of a hot request's copies that are answered while its owners crash for unrelated reasons. */
function simulateCrashes(seed: number, daemons: number): number {
  const simulation = new RouterSimulation(seed, daemons, 8);
  const traffic = new RequestTraffic(simulation, 0);
  const ask = (daemon: SimulatedDaemon): void => {
    traffic.sendRequest(daemon, HOT);
    traffic.sendRequest(daemon, COLD);
    simulation.clock.schedule(REQUEST_INTERVAL * (daemons / 6), () => ask(daemon));
  };
  simulation.clock.runUntil(SETTLING_TIME);
  simulation.daemons.forEach((daemon, index) => simulation.clock.schedule(index * 11, () => ask(daemon)));
  simulation.clock.runUntil(SETTLING_TIME + 1_000);
  const before = traffic.responses.length;
  for (let crash = 0; crash < CRASHES; crash += 1) {
    const owner = simulation.servers.find((server) => server.holds(HOT.key));
    if (owner !== undefined) {
      traffic.crash(owner);
    }
    simulation.clock.runUntil(simulation.clock.now + CRASH_INTERVAL);
  }
  const told = traffic.responses.slice(before);
  const ofHot = told.filter(({ name }) => name === HOT.name);
  return ofHot.filter(({ status }) => status === 200).length / ofHot.length;
}

describe('a hot request whose owners crash for unrelated reasons', () => {
  it('is soon answered again, although copies of it were lost', () => {
    for (let seed = 1; seed <= 4; seed += 1) {
      const hot = simulateCrashes(seed, 6);
      expect(hot > MIN_ANSWERED_SHARE).toEqual(true);
    }
  });
});
