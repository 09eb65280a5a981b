/*
 * Guards against a request that crashes servers being sent on while it is counted by crashed servers alone. When it is
 * received twelve times a second, three to six daemons have a copy of it at the same server when that crashes. Daemons
 * counted one crash (at 8.63 s), waited for two more servers (11.99 s and 14.91 s) and began the quarantine within
 * 20 ms of the third. Three copies had been lost by 8.6 s, and six more were sent later than 3 s after that.
 */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { RequestTraffic } from '../support/request-traffic.js';
import { type SimulatedDaemon, RouterSimulation, SERVICE } from '../support/router-simulation.js';

const SETTLING_TIME = 6_000;
const NAME = 'deadly';
const KEY = 7;
/** Time between two requests to one daemon. */
const REQUEST_INTERVAL = 500;
const RUN_TIME = 20_000;
const COPIES = 3;
const CONTACT_TIME = 3_000;
const MAX_LATER_SENDS = 3;

describe('a request that crashes servers while several copies of it are in flight', () => {
  it('is sent at most three more times once three copies have been lost for the time that daemons need to agree', () => {
    const simulation = new RouterSimulation(11, 6, 8);
    const traffic = new RequestTraffic(simulation, 0);
    traffic.crashingRequests.add(NAME);
    const ask = (daemon: SimulatedDaemon): void => {
      traffic.sendRequest(daemon, { name: NAME, route: SERVICE, key: KEY });
      simulation.clock.schedule(REQUEST_INTERVAL, () => ask(daemon));
    };
    simulation.clock.runUntil(SETTLING_TIME);
    simulation.daemons.forEach((daemon, index) => simulation.clock.schedule(index, () => ask(daemon)));
    simulation.clock.runUntil(SETTLING_TIME + RUN_TIME);
    const lost = traffic.lostCopies.map(({ at }) => at).sort((left, right) => left - right);
    const third = lost[COPIES - 1] ?? Number.POSITIVE_INFINITY;
    const later = traffic.deliveries.filter(({ at }) => at > third + CONTACT_TIME);
    expect(later.length <= MAX_LATER_SENDS).toEqual(true);
  });
});
