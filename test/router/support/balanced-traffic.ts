/**
 * Replays the load of a balanced service in virtual time: callers send requests of several routes to many daemons, which choose servers by
 * the router's decisions. Callers don't try again. A daemon holds a request without a server for part of its objective, as the router does.
 */
import { SeededRandom } from '../../../src/core/random.js';
import { type ServiceLoadView, UNKNOWN_LOAD } from '../../../src/router/load-view/load-view.js';
import type { Route } from '../../../src/router/model/configuration.js';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { HELD_RETRY_INTERVAL, HOLD_FRACTION } from '../../../src/router/request/request-timing.js';
import { RetryBudget } from '../../../src/router/request/retry-budget.js';
import type { CandidateServer } from '../../../src/router/request/server-eligibility.js';
import { ServerLoad } from '../../../src/router/request/server-load.js';
import { selectServer } from '../../../src/router/request/server-selection.js';
import { ServiceProfile } from '../../../src/router/request/service-profile.js';
import { BOUNDS } from './bounds.js';
import { ObservedLoads } from './observed-loads.js';
import { createCandidate } from './candidates.js';
import { describeServer } from './single-daemon.js';
import { type ServerResult, SlotServer } from './slot-server.js';
import { VirtualClock } from './virtual-clock.js';

const SLOTS = 2;
const QUEUE_PLACES = 8;
const OWN_ZONE_WAY = 0.5;
const OTHER_ZONE_WAY = 1.25;
/** Intervals and delays of the load view in milliseconds: counts reach the leader and come back in about 0.2 s. */
const VIEW_INTERVAL = 100;
const VIEW_DELAY = 200;
/** Interval at which a daemon updates loads and reserved servers. */
const REFRESH_INTERVAL = 50;
/** Time for which a server that rejected a request is avoided. */
const REJECTION_AVOIDANCE = 40;

export interface TrafficRoute {
  readonly route: Route;
  /** Mean work in milliseconds. */
  readonly work: number;
  /** Demand as a fraction of the capacity of all servers, at a time in a zone. */
  readonly demand: (now: number, zone: number) => number;
}

export interface TrafficSetting {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  readonly zones: number;
  readonly routes: readonly TrafficRoute[];
  /** When the load view of all daemons ends because the leader is lost. */
  readonly leaderLostAt?: number;
}

/** What the callers of one route got between two times. */
export interface RouteCounts {
  requests: number;
  inTime: number;
  late: number;
  refused: number;
  /** Total work of the requests answered in time, in milliseconds. */
  workInTime: number;
}

interface Daemon {
  readonly zone: number;
  readonly profile: ServiceProfile;
  readonly candidates: Map<string, CandidateServer>;
  readonly budget: RetryBudget;
  readonly observed: ObservedLoads;
  refreshAt: number;
}

interface Request {
  readonly id: number;
  readonly traffic: TrafficRoute;
  readonly work: number;
  readonly arrivedAt: number;
  readonly tried: string[];
}

export class BalancedTraffic {
  readonly clock = new VirtualClock();
  readonly servers: SlotServer[];
  readonly counts = new Map<string, RouteCounts>();
  sends = 0;
  sendsToOtherZones = 0;
  /** Sends rejected by servers that were full. */
  rejectedFull = 0;
  rejectedByFault = 0;
  readonly #setting: TrafficSetting;
  readonly #random: SeededRandom;
  readonly #daemons: Daemon[];
  readonly #all = new ObservedLoads();
  #view: ServiceLoadView | null = null;
  #nextRequest = 0;

  constructor(setting: TrafficSetting) {
    this.#setting = setting;
    this.#random = new SeededRandom(setting.seed);
    this.servers = Array.from(
      { length: setting.servers },
      () => new SlotServer(this.clock, SLOTS, QUEUE_PLACES),
    );
    this.#daemons = Array.from({ length: setting.daemons }, (_, index) => this.#createDaemon(index));
    this.clock.schedule(0, () => this.#updateView());
    for (const traffic of setting.routes) {
      for (let zone = 0; zone < setting.zones; zone += 1) {
        this.#scheduleArrival(traffic, zone);
      }
    }
  }

  /** Forgets all counts, for instance of the time before a surge. */
  resetCounts(): void {
    this.counts.clear();
    [this.sends, this.sendsToOtherZones, this.rejectedFull, this.rejectedByFault] = [0, 0, 0, 0];
  }

  countsOf({ name }: Route): RouteCounts {
    const counts = this.counts.get(name) ?? { requests: 0, inTime: 0, late: 0, refused: 0, workInTime: 0 };
    this.counts.set(name, counts);
    return counts;
  }

  /** Returns the share of the capacity that was answered in time in the last `span` milliseconds, since counts were reset. */
  usedCapacity(span: number): number {
    const work = [...this.counts.values()].reduce((total, { workInTime }) => total + workInTime, 0);
    return work / (this.servers.length * SLOTS * span);
  }

  /** Returns the numbers of reserved servers that the daemons know. */
  reservedSizes(): number[] {
    return this.#daemons.map(({ profile }) => profile.reserved.size);
  }

  #createDaemon(index: number): Daemon {
    const { daemons, zones } = this.#setting;
    const profile = new ServiceProfile();
    const candidates = new Map(
      this.servers.map((_, number): [string, CandidateServer] => {
        const server = { ...describeServer(`s${number}`), slots: SLOTS, zone: `z${number % zones}` };
        const load = new ServerLoad(profile, SLOTS, daemons);
        return [server.id, createCandidate(server, load)];
      }),
    );
    const budget = new RetryBudget(BOUNDS.retries, daemons);
    return { zone: index % zones, profile, candidates, budget, observed: new ObservedLoads(), refreshAt: 0 };
  }

  #updateView(): void {
    const { now } = this.clock;
    const view = this.#all.view('fleet', now, (priority) => this.#workOf(priority), 1);
    this.clock.schedule(VIEW_DELAY, () => {
      this.#view = this.clock.now < (this.#setting.leaderLostAt ?? Number.POSITIVE_INFINITY) ? view : null;
    });
    this.clock.schedule(VIEW_INTERVAL, () => this.#updateView());
  }

  #workOf(priority: number): number {
    return this.#setting.routes.find(({ route }) => route.priority === priority)?.work ?? 0;
  }

  #viewOf({ observed }: Daemon): ServiceLoadView {
    const { now } = this.clock;
    const { daemons } = this.#setting;
    if (now < VIEW_DELAY) {
      return UNKNOWN_LOAD;
    }
    return this.#view ?? observed.view('own', now, (priority) => this.#workOf(priority), daemons);
  }

  #scheduleArrival(traffic: TrafficRoute, zone: number): void {
    const { zones, servers } = this.#setting;
    const rate = (traffic.demand(this.clock.now, zone) * servers * SLOTS) / traffic.work / zones;
    const wait = rate === 0 ? 10 : -Math.log(1 - this.#random.fraction()) / rate;
    this.clock.schedule(Math.min(wait, 100), () => {
      if (wait <= 100 && rate > 0) {
        this.#arrive(traffic, zone);
      }
      this.#scheduleArrival(traffic, zone);
    });
  }

  #arrive(traffic: TrafficRoute, zone: number): void {
    const daemon = this.#random.pick(this.#daemons.filter((other) => other.zone === zone)) as Daemon;
    const { now } = this.clock;
    const work = traffic.work * (0.5 + this.#random.fraction());
    this.#nextRequest += 1;
    this.countsOf(traffic.route).requests += 1;
    daemon.budget.creditRequest();
    this.#observe(daemon, 'request', traffic.route.priority);
    this.#dispatch(daemon, { id: this.#nextRequest, traffic, work, arrivedAt: now, tried: [] });
  }

  #observe({ observed }: Daemon, kind: 'request' | 'reserved' | 'shared', value: number): void {
    const observation = { at: this.clock.now, kind, value };
    observed.add(observation);
    this.#all.add(observation);
  }

  #refresh(daemon: Daemon): void {
    const { now } = this.clock;
    if (now < daemon.refreshAt) {
      return;
    }
    daemon.refreshAt = now + REFRESH_INTERVAL;
    const view = this.#viewOf(daemon);
    daemon.profile.groups.update(view, this.#setting.daemons, daemon.profile.mean, now);
    daemon.profile.reserved.update(view, daemon.candidates, 1, () => true, now);
  }

  #dispatch(daemon: Daemon, request: Request): void {
    const { now } = this.clock;
    const { route } = request.traffic;
    this.#refresh(daemon);
    daemon.profile.recordDemand(route, now);
    const holdUntil = request.arrivedAt + route.latencyObjective * HOLD_FRACTION;
    const selection = selectServer(daemon.candidates.values(), {
      now,
      zone: `z${daemon.zone}`,
      route,
      workTime: daemon.profile.workTime(route),
      mayUseReserved: daemon.profile.reserved.allows(route.priority),
      maxWaitBehind: daemon.profile.maxWaitBehind(route.priority, now),
      random: this.#random,
      tried: request.tried,
      maxInFlight: 100,
      coldInterval: null,
      drainingGrace: 0,
      evacuationGrace: 0,
      toleratedFailures: 0,
      shareOf: () => null,
      seeker: { id: request.id, priority: route.priority, holdUntil },
      evacuations: new ZoneEvacuations(),
    });
    if (selection.kind === 'selected') {
      this.#send(daemon, request, selection.server);
    } else if (now + HELD_RETRY_INTERVAL > holdUntil) {
      this.countsOf(route).refused += 1;
    } else {
      this.clock.schedule(HELD_RETRY_INTERVAL, () => this.#dispatch(daemon, request));
    }
  }

  #send(daemon: Daemon, request: Request, candidate: CandidateServer): void {
    const { route } = request.traffic;
    if (request.tried.length >= route.maxAttempts || (request.tried.length > 0 && !daemon.budget.tryTake())) {
      this.countsOf(route).refused += 1;
      return;
    }
    const { server, load } = candidate;
    const sentAt = this.clock.now;
    const isOtherZone = server.zone !== `z${daemon.zone}`;
    const way = isOtherZone ? OTHER_ZONE_WAY : OWN_ZONE_WAY;
    this.sends += 1;
    this.sendsToOtherZones += isOtherZone ? 1 : 0;
    request.tried.push(server.id);
    const wasFree = load.estimatedInFlight(sentAt) < server.slots;
    load.inFlight.set(request.id, sentAt);
    const receiver = this.servers[Number(server.id.slice(1))] as SlotServer;
    this.clock.schedule(way, () =>
      receiver.receive(request.work, (result) =>
        this.clock.schedule(way, () => this.#receive(daemon, request, candidate, sentAt, wasFree, result)),
      ),
    );
  }

  #receive(
    daemon: Daemon,
    request: Request,
    { load }: CandidateServer,
    sentAt: number,
    wasFree: boolean,
    { rejection, load: report }: ServerResult,
  ): void {
    const { now } = this.clock;
    const { route } = request.traffic;
    load.inFlight.delete(request.id);
    load.report(report, now);
    this.#observe(daemon, load.isReserved ? 'reserved' : 'shared', report.running + report.waiting);
    if (rejection !== null) {
      this[rejection === 'full' ? 'rejectedFull' : 'rejectedByFault'] += 1;
      load.recordRejection(report, now);
      load.avoidUntil = Math.max(load.avoidUntil, now + REJECTION_AVOIDANCE);
      this.#dispatch(daemon, request);
      return;
    }
    load.answered(now - sentAt, now, !wasFree || report.waiting > 0, route);
    const isInTime = now - request.arrivedAt <= route.latencyObjective;
    const counts = this.countsOf(route);
    counts[isInTime ? 'inTime' : 'late'] += 1;
    counts.workInTime += isInTime ? request.work : 0;
  }
}
