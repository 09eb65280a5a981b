/** Work times of a service's requests on an idle slot, over all of its servers, and the load of its server groups. */
import type { Route } from '../model/configuration.js';
import type { Milliseconds } from '../model/identifiers.js';
import { ReservedServers } from './reserved-servers.js';
import { ServerGroups } from './server-groups.js';

/** Assumed service time before any request has been measured. */
const INITIAL_SERVICE_TIME: Milliseconds = 80;
/** Weight of a new sample once there are many. */
const MIN_SAMPLE_WEIGHT = 0.02;
/** Number of samples below which the mean says little about the service. */
const MIN_SAMPLES = 5;
/** Weight of one answer or rejection in the share of rejections. */
const REJECTION_WEIGHT = 0.05;
/** Share of a service's answers from which on a route counts as frequent. */
const MIN_ANSWER_SHARE = 0.05;
/** A route has demand at this daemon for this long after its last request, which bridges the gaps of a route with few requests. */
const ROUTE_DEMAND_TIME: Milliseconds = 2_000;

/** Running mean of durations. */
class MeanTime {
  mean: Milliseconds = INITIAL_SERVICE_TIME;
  sampleCount = 0;

  add(duration: Milliseconds): void {
    this.sampleCount += 1;
    this.mean += (duration - this.mean) * Math.max(MIN_SAMPLE_WEIGHT, 1 / this.sampleCount);
  }
}

/** Requests of one route to the service. */
interface RouteRecord {
  readonly work: MeanTime;
  route: Route;
  /** Time of this daemon's last request of the route. */
  requestedAt: Milliseconds;
}

/** Shared by all servers of one service; gives the expected service time of a server with few samples of its own. */
export class ServiceProfile {
  /** Whether the log already has an unreadable load report from a server of the service. */
  loggedUnreadableLoad = false;
  /** Whether the log already has an unreadable back-off request from a server of the service. */
  loggedUnreadableBackoff = false;
  /** Whether the log already has an unreadable rate limit from a server of the service. */
  loggedUnreadableLimit = false;
  /** Load of the reserved and the shared servers, if the service is balanced. */
  readonly groups = new ServerGroups();
  readonly reserved = new ReservedServers();
  /** When loads and reserved servers are updated next. */
  nextRefreshAt: Milliseconds = 0;
  /** Revision of the server list at the last update. */
  refreshedRevision: number | null = null;
  readonly #service = new MeanTime();
  readonly #routes = new Map<string, RouteRecord>();
  #frequentRoutes = 0;
  #rejectedShare = 0;

  /** Mean time of a request on an idle slot. */
  get mean(): Milliseconds {
    return this.#service.mean;
  }

  /** Whether there are enough samples to judge a server by the mean. */
  get hasEnoughSamples(): boolean {
    return this.#service.sampleCount >= MIN_SAMPLES;
  }

  /**
   * Whether the servers' times have to be compared by route: more than one route has a fair part of the answers. A route with few requests
   * doesn't count: they are often much shorter, and a server that got one would look quick for some seconds.
   */
  get comparesRoutes(): boolean {
    return this.#frequentRoutes > 1;
  }

  /** Recent share of the service's requests that servers rejected although they had a free slot. */
  get rejectedShare(): number {
    return this.#rejectedShare;
  }

  /** Records whether a server rejected a request although it had a free slot, or answered one. */
  recordRejection(isRejected: boolean): void {
    this.#rejectedShare += (Number(isRejected) - this.#rejectedShare) * REJECTION_WEIGHT;
  }

  /** Returns whether loads and reserved servers are to be updated: after some time, and at once when the server list has changed. */
  isRefreshDue(revision: number | null, now: Milliseconds): boolean {
    return now >= this.nextRefreshAt || revision !== this.refreshedRevision;
  }

  /** Records that a request of a route is to be sent. */
  recordDemand(route: Route, now: Milliseconds): void {
    const record = this.#recordOf(route);
    record.route = route;
    record.requestedAt = now;
  }

  /** Adds the duration of a request that did not wait for a slot. */
  addSample(duration: Milliseconds, route: Route): void {
    this.#service.add(duration);
    this.#recordOf(route).work.add(duration);
    const fewest = this.#service.sampleCount * MIN_ANSWER_SHARE;
    this.#frequentRoutes = 0;
    for (const { work } of this.#routes.values()) {
      this.#frequentRoutes += work.sampleCount >= fewest ? 1 : 0;
    }
  }

  /** Mean time of a route's request on an idle slot; before the first sample, the mean of the service. */
  workTime(route: Route): Milliseconds {
    const work = this.#routes.get(route.name)?.work;
    return work === undefined || work.sampleCount === 0 ? this.mean : work.mean;
  }

  /** Returns the longest wait at a server with which every more urgent route that has demand answers within its objective. */
  maxWaitForMoreUrgent(priority: number, now: Milliseconds): Milliseconds {
    let longest = Number.POSITIVE_INFINITY;
    if (this.#routes.size > 1) {
      for (const { route, requestedAt } of this.#routes.values()) {
        if (route.priority < priority && now - requestedAt < ROUTE_DEMAND_TIME) {
          // A server without a queue makes no request late, however long the work is.
          longest = Math.min(longest, Math.max(0, route.latencyObjective - this.workTime(route)));
        }
      }
    }
    return longest;
  }

  /** Returns the longest wait behind a request at a shared server: limited while the reserved servers are too few for the urgent demand. */
  maxWaitBehind(priority: number, now: Milliseconds): Milliseconds {
    return this.reserved.isSufficient ? Number.POSITIVE_INFINITY : this.maxWaitForMoreUrgent(priority, now);
  }

  #recordOf(route: Route): RouteRecord {
    let record = this.#routes.get(route.name);
    if (record === undefined) {
      record = { work: new MeanTime(), route, requestedAt: Number.NEGATIVE_INFINITY };
      this.#routes.set(route.name, record);
    }
    return record;
  }
}
