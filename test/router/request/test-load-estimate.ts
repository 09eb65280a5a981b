import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import type { ServiceLoadView } from '../../../src/router/load-view/load-view.js';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { expectedQueuedRounds } from '../../../src/router/request/load-estimate.js';
import type { CandidateServer } from '../../../src/router/request/server-eligibility.js';
import { ServerLoad } from '../../../src/router/request/server-load.js';
import { type Selection, selectServer } from '../../../src/router/request/server-selection.js';
import { ServiceProfile } from '../../../src/router/request/service-profile.js';
import { createCandidate } from '../support/candidates.js';
import { describeServer } from '../support/single-daemon.js';
import { LESS_URGENT, URGENT } from '../support/surges.js';

const NOW = 10_000;
const SLOTS = 2;
const DAEMONS = 50;

/** A view in which every server has the given number of requests. */
function viewWithLoad(load: number): ServiceLoadView {
  return { source: 'fleet', priorities: [], demandSlots: () => 0, meanLoad: () => load };
}

function createServer(id: string, profile: ServiceProfile, zone = 'z'): CandidateServer {
  return createCandidate({ ...describeServer(id), zone }, new ServerLoad(profile, SLOTS, DAEMONS));
}

function reportRequests({ load }: CandidateServer, running: number, waiting: number, now: number): void {
  load.report({ running, waiting, slots: SLOTS, slowdown: null }, now);
}

function select(
  candidates: readonly CandidateServer[],
  profile: ServiceProfile,
  route = URGENT,
): Selection<CandidateServer> {
  return selectServer(candidates, {
    now: NOW,
    zone: 'z',
    route,
    workTime: profile.workTime(route),
    mayUseReserved: true,
    maxWaitBehind: Number.POSITIVE_INFINITY,
    random: new SeededRandom(1),
    tried: [],
    maxInFlight: 9,
    coldInterval: null,
    drainingGrace: 0,
    evacuationGrace: 0,
    toleratedFailures: 0,
    shareOf: () => null,
    seeker: { id: 1, priority: route.priority, holdUntil: NOW },
    evacuations: new ZoneEvacuations(),
  });
}

function selectedId(selection: Selection<CandidateServer>): string {
  return selection.kind === 'selected' ? selection.server.server.id : selection.kind;
}

/** Returns the same estimate from the probability of each number of requests, computed by its logarithm. */
function summedRounds(slots: number, others: number): number {
  let rounds = 0;
  let logarithm = -others;
  for (let count = 1; count < 3 * others + slots + 100; count += 1) {
    logarithm += Math.log(others / count);
    rounds += (Math.max(0, count + 1 - slots) / slots) * Math.exp(logarithm);
  }
  return rounds;
}

describe('the estimate of the wait at a server', () => {
  it('is zero at an idle server and exact for requests of this daemon', () => {
    expect(expectedQueuedRounds(2, 0, 0)).toEqual(0);
    expect(expectedQueuedRounds(2, 1, 0)).toEqual(0);
    expect(expectedQueuedRounds(2, 4, 0)).toEqual(1.5);
  });

  // A mean of one request at two slots means that there often are more.
  it('counts the chance of a queue below the number of slots', () => {
    const expected = (1 - 1 + Math.exp(-1)) / 2;
    expect(Math.abs(expectedQueuedRounds(2, 0, 1) - expected) < 1e-12).toEqual(true);
  });

  it('is as precise for many slots as the sum of all terms', () => {
    for (const slots of [1, 2, 3, 8, 30, 65, 66, 100, 400, 1_000]) {
      const tolerance = slots <= 65 ? 1e-9 : 0.001;
      for (const use of [0.1, 0.5, 0.8, 0.95, 1, 1.1, 2, 5]) {
        const difference = expectedQueuedRounds(slots, 0, use * slots) - summedRounds(slots, use * slots);
        expect(Math.abs(difference) < tolerance).toEqual(true);
      }
    }
  });

  it('is a number for any finite number of slots and requests', () => {
    const values = [0, 5e-324, 1, 3, 1e6, Number.MAX_SAFE_INTEGER, 1e308];
    for (const slots of values.slice(2)) {
      for (const others of values) {
        expect(expectedQueuedRounds(slots, 0, others) >= 0).toEqual(true);
      }
    }
  });
});

// A server without a recent report was assumed to be idle, so that all daemons sent to it at once.
describe('a server of unknown load', () => {
  it('comes after an idle one and before a busy one', () => {
    const profile = new ServiceProfile();
    const [idle, unknown, busy] = ['s1', 's2', 's3'].map((id) => createServer(id, profile)) as [
      CandidateServer,
      CandidateServer,
      CandidateServer,
    ];
    profile.groups.update(viewWithLoad(2), DAEMONS, profile.mean, NOW);
    reportRequests(idle, 0, 0, NOW);
    reportRequests(busy, 2, 3, NOW);
    profile.groups.update(viewWithLoad(2), DAEMONS, profile.mean, NOW);
    expect(selectedId(select([busy, unknown, idle], profile))).toEqual('s1');
    expect(selectedId(select([busy, unknown], profile))).toEqual('s2');
  });

  it('has the mean of this daemon while there is no view of all daemons', () => {
    const profile = new ServiceProfile();
    const [unknown, idle, ...reporting] = Array.from({ length: 8 }, (_, index) =>
      createServer(`s${index}`, profile),
    ) as [CandidateServer, CandidateServer, ...CandidateServer[]];
    reporting.forEach((server) => reportRequests(server, 2, 2, NOW));
    reportRequests(idle, 0, 0, NOW);
    profile.groups.update({ ...viewWithLoad(0), meanLoad: () => null }, DAEMONS, profile.mean, NOW);
    expect(unknown.load.otherRequests(NOW) > 2).toEqual(true);
    expect(selectedId(select([unknown, idle], profile))).toEqual('s1');
  });

  it('counts as idle at an owner of keys', () => {
    const profile = new ServiceProfile();
    const owner = createServer('s1', profile);
    reportRequests(owner, 2, 2, NOW - 400);
    expect(Math.abs(owner.load.otherRequests(NOW) - 4 * 0.7 * Math.exp(-1)) < 1e-9).toEqual(true);
  });
});

describe('the cheapest server with room', () => {
  // Guards against a refusal because the cheapest server is full while another one has room.
  it('is in another zone while the own zone is full', () => {
    const profile = new ServiceProfile();
    const [near, far] = [createServer('s1', profile), createServer('s2', profile, 'y')];
    reportRequests(near, 2, 20, NOW);
    expect(selectedId(select([near, far], profile))).toEqual('s2');
    reportRequests(far, 2, 20, NOW);
    expect(selectedId(select([near, far], profile))).toEqual('full');
  });

  it('is in the own zone while servers are equally busy', () => {
    const profile = new ServiceProfile();
    const [near, far] = [createServer('s1', profile), createServer('s2', profile, 'y')];
    expect(selectedId(select([far, near], profile))).toEqual('s1');
  });
});

describe('a server that answered a short route', () => {
  // Guards against comparing servers by durations of different routes, here 48 and 300 ms.
  it('does not look faster than one that answered a long route', () => {
    const profile = new ServiceProfile();
    const [short, long] = [createServer('s1', profile), createServer('s2', profile)];
    for (let answer = 0; answer < 40; answer += 1) {
      short.load.answered(48, NOW, false, URGENT);
      long.load.answered(300, NOW, false, LESS_URGENT);
    }
    const times = [short, long].map(({ load }) => load.balancedResponseTime(SLOTS, URGENT, NOW));
    expect(times.every((time) => Math.abs(time - 48) < 1)).toEqual(true);
    expect(long.load.balancedResponseTime(SLOTS, LESS_URGENT, NOW) > 290).toEqual(true);
  });

  it('looks faster if it is', () => {
    const profile = new ServiceProfile();
    const [fast, slow] = [createServer('s1', profile), createServer('s2', profile)];
    for (let answer = 0; answer < 40; answer += 1) {
      fast.load.answered(30, NOW, false, URGENT);
      slow.load.answered(80, NOW, false, URGENT);
      slow.load.answered(300, NOW, false, LESS_URGENT);
    }
    expect(selectedId(select([slow, fast], profile))).toEqual('s1');
  });
});
