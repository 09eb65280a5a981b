import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import type { ServiceLoadView } from '../../../src/router/load-view/load-view.js';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { markReserved } from '../../../src/router/request/reserved-servers.js';
import type { CandidateServer } from '../../../src/router/request/server-eligibility.js';
import { ServerLoad } from '../../../src/router/request/server-load.js';
import { selectServer } from '../../../src/router/request/server-selection.js';
import { ServiceProfile } from '../../../src/router/request/service-profile.js';
import { createCandidate } from '../support/candidates.js';
import { describeServer } from '../support/single-daemon.js';
import { URGENT } from '../support/surges.js';

const NOW = 10_000;
const SLOTS = 3;
const DAEMONS = 14;
const STATED_SLOTS = 10_000;
/** Most requests that fit at a server with as many slots as its service's others. */
const MOST_AT_ONE_SERVER = 4 * (1 + 3);

function viewWithLoad(load: number): ServiceLoadView {
  return { source: 'fleet', priorities: [], demandSlots: () => 0, meanLoad: () => load };
}

/** A service whose servers have a mean load; the first one has never answered and states many slots. */
class Service {
  readonly profile = new ServiceProfile();
  readonly random = new SeededRandom(1);
  readonly servers: CandidateServer[];
  #nextRequest = 1;

  constructor(count: number, meanLoad: number) {
    this.profile.groups.update(viewWithLoad(meanLoad), DAEMONS, this.profile.mean, NOW);
    this.servers = Array.from({ length: count }, (_, index) => this.#create(index));
  }

  #create(index: number): CandidateServer {
    const slots = index === 0 ? STATED_SLOTS : SLOTS;
    const server = { ...describeServer(`s${index}`), slots };
    const candidate = createCandidate(server, new ServerLoad(this.profile, slots, DAEMONS));
    if (index > 0) {
      candidate.contact.recordHeard(NOW);
    }
    return candidate;
  }

  /** Sends requests until all servers are full, but no more than a number. Returns how many went to each server. */
  send(most: number): number[] {
    for (let count = 0; count < most; count += 1) {
      const chosen = selectServer(this.servers, {
        now: NOW,
        zone: 'z',
        route: URGENT,
        workTime: this.profile.workTime(URGENT),
        mayUseReserved: true,
        maxWaitBehind: Number.POSITIVE_INFINITY,
        random: this.random,
        tried: [],
        maxInFlight: 1_000,
        coldInterval: null,
        drainingGrace: 0,
        evacuationGrace: 0,
        toleratedFailures: 0,
        shareOf: () => null,
        seeker: { id: 1, priority: URGENT.priority, holdUntil: NOW },
        evacuations: new ZoneEvacuations(),
      });
      if (chosen.kind !== 'selected') {
        break;
      }
      chosen.server.load.inFlight.set(this.#nextRequest, NOW);
      this.#nextRequest += 1;
    }
    return this.servers.map(({ load }) => load.inFlight.size);
  }
}

describe('a server that has never answered', () => {
  // Guards against requests sent in number to a server that may not exist, for the capacity that its entry states.
  it('gets few requests while other servers have room', () => {
    const [unheard = 0, ...others] = new Service(6, 2).send(12);
    expect(unheard <= 2).toEqual(true);
    expect(others.reduce((sum, count) => sum + count, 0) >= 10).toEqual(true);
  });

  it('gets no more than others while all servers fill up', () => {
    const [unheard = 0] = new Service(6, 2).send(1_000);
    expect(unheard <= MOST_AT_ONE_SERVER).toEqual(true);
  });

  it('gets the first request while it looks idle', () => {
    const service = new Service(3, 0);
    service.servers.slice(1).forEach(({ load }) => {
      load.report({ running: SLOTS, waiting: 2, slots: SLOTS, slowdown: null }, NOW);
    });
    expect(service.send(1)[0]).toEqual(1);
  });

  it('does not stand for the servers that are reserved for urgent requests', () => {
    const { servers } = new Service(12, 1);
    const isReserved = ({ load }: CandidateServer): boolean => load.isReserved;
    const demand = 6;
    markReserved(servers, demand, () => true);
    const slots = servers.slice(1).filter(isReserved).length * SLOTS;
    expect(slots >= demand).toEqual(true);
  });
});
