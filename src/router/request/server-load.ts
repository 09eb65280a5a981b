/** Estimates the load and the speed of one server from this daemon's own requests there and from what the server reports. */
import type { Route } from '../model/configuration.js';
import type { Milliseconds } from '../model/identifiers.js';
import { AdmissionWindow } from './admission-window.js';
import { expectedQueuedRounds } from './load-estimate.js';
import type { ServiceProfile } from './service-profile.js';

/** A slowdown that a server reported decays by a factor of e in this time; the true value changes many times a second. */
const SLOWDOWN_DECAY_TIME: Milliseconds = 300;
/** Weight of a new load report against the decayed estimate. */
const LOAD_REPORT_WEIGHT = 0.7;
/** Weight of a new sample in the average service time. */
const SERVICE_TIME_SAMPLE_WEIGHT = 0.1;
/** Weight of the duration of an unanswered request, which would have taken longer still. */
const UNANSWERED_SAMPLE_WEIGHT = 0.2;
/** A server's own service time decays towards its service's mean by a factor of e in this time, so that a slow server is tried again. */
const SERVICE_TIME_DECAY_TIME: Milliseconds = 6_000;
/** A server counts as unresponsive once a request is unanswered for this many times the usual service time, and for at least this long. */
const UNRESPONSIVE_FACTOR = 4;
const MIN_UNRESPONSIVE_TIME: Milliseconds = 400;
/** Minimum time until a server counts as unresponsive while its service has too few samples. */
const MIN_UNRESPONSIVE_TIME_UNKNOWN_SERVICE: Milliseconds = 1_000;
/** Weight of one request in the share of requests that a server rejects although it has a free slot. */
const REJECTION_WEIGHT = 0.2;
/** That share decays by a factor of e in this time, so that the server is tried again. */
const REJECTION_DECAY_TIME: Milliseconds = 5_000;

/** Load that a server reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Current time of the server's work as a multiple of its usual time; null when the server doesn't report it. */
  readonly slowdown: number | null;
}

/** Figures on a server's answers that this daemon hasn't reported to the leader yet. */
export interface UnreportedAnswers {
  /** Number of answers, including answers to requests that waited for a slot. */
  requests: number;
  /** Total time that requests were at the server, including unanswered ones. */
  total: Milliseconds;
}

/** Load and speed of one listed server. */
export class ServerLoad {
  /** Sending times of this daemon's requests in flight at the server, by request id, in the order of sending. */
  readonly inFlight = new Map<number, Milliseconds>();
  /** Limits the requests in flight for keys that the server owns. */
  readonly window: AdmissionWindow;
  /** Time before which the server gets no new request after a failure or while it is at capacity. */
  avoidUntil: Milliseconds = 0;
  lastAnswerAt: Milliseconds = -1;
  /** Number of failures since the server last answered a request; a rejection is no answer. */
  failures = 0;
  /** Whether the server is reserved for the most urgent requests of its service; see `reserved-servers.ts`. */
  isReserved = false;
  /** Answers since the last report to the leader. */
  readonly unreported: UnreportedAnswers = { requests: 0, total: 0 };
  readonly #profile: ServiceProfile;
  /** Average time of a request on an idle slot of this server; null before the first sample. */
  #serverTime: Milliseconds | null = null;
  /** Average time of a request on an idle slot as a multiple of its route's mean; unlike the time, it doesn't depend on the mix of routes. */
  #relativeTime = 1;
  #sampledAt: Milliseconds = 0;
  #otherRequests = 0;
  #rejectedShare = 0;
  #rejectionsAt: Milliseconds = 0;
  /** Slowdown that the server last reported. */
  #slowdown = 1;
  #reportedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param profile service times over all servers of the service
   * @param slots number of slots of the server
   * @param daemons number of daemons that share the server
   */
  constructor(profile: ServiceProfile, slots: number, daemons: number) {
    this.#profile = profile;
    this.window = new AdmissionWindow(slots, daemons);
  }

  /** Average time of a request on an idle slot of this server; before the first sample, the mean of its service. */
  get serviceTime(): Milliseconds {
    return this.#serverTime ?? this.#profile.mean;
  }

  /** Usual time of a request: requests differ more than servers do, so a quick record proves little. */
  get usualTime(): Milliseconds {
    return Math.max(this.serviceTime, this.#profile.mean);
  }

  /** Returns the estimated number of other daemons' requests at the server; it decays from the last report to the mean of its group. */
  otherRequests(now: Milliseconds): number {
    const { groups } = this.#profile;
    const usual = groups.otherRequests(this.isReserved);
    return usual + (this.#otherRequests - usual) * Math.exp((this.#reportedAt - now) / groups.loadDecayTime);
  }

  /** Records the load that the server reported with an answer. */
  report(load: ReportedLoad, now: Milliseconds): void {
    const reported = this.#withoutOwn(load);
    this.#profile.groups.recordReport(this.isReserved, reported, now);
    this.#assume(reported, load.slowdown ?? 1, now);
  }

  /** Returns the number of other daemons' requests in a load report. */
  #withoutOwn({ running, waiting }: ReportedLoad): number {
    return Math.max(0, running + waiting - this.inFlight.size);
  }

  #assume(reported: number, slowdown: number, now: Milliseconds): void {
    const previous = this.otherRequests(now);
    this.#otherRequests = previous + (reported - previous) * LOAD_REPORT_WEIGHT;
    this.#slowdown = slowdown;
    this.#reportedAt = now;
  }

  /** Records that the server shed a request without a load report: it is assumed to have as many requests waiting as it has slots. */
  recordShed(slots: number, now: Milliseconds): void {
    this.#assume(this.#withoutOwn({ running: slots, waiting: slots, slots, slowdown: null }), 1, now);
  }

  /** Records that the server rejected a request. A server with a free slot rejects by fault and looks idle all the time. */
  recordRejection({ running, slots }: ReportedLoad, now: Milliseconds): void {
    if (running < slots) {
      this.#updateRejections(1, now);
    }
  }

  #updateRejections(isRejected: number, now: Milliseconds): void {
    this.#profile.recordRejection(isRejected > 0);
    const share = this.rejectedShare(now);
    this.#rejectedShare = share + (isRejected - share) * REJECTION_WEIGHT;
    this.#rejectionsAt = now;
  }

  /** Returns the recent share of requests that the server rejected although it had a free slot. */
  rejectedShare(now: Milliseconds): number {
    return this.#rejectedShare === 0
      ? 0
      : this.#rejectedShare * Math.exp((this.#rejectionsAt - now) / REJECTION_DECAY_TIME);
  }

  /** Returns by how much that share is above the service's: a fault of all servers is no reason to prefer one of them. */
  excessRejectedShare(now: Milliseconds): number {
    return Math.max(0, this.rejectedShare(now) - this.#profile.rejectedShare);
  }

  /** Records an answer and its duration; `waited` is whether the request may have waited for a slot of the server. */
  answered(duration: Milliseconds, now: Milliseconds, waited: boolean, route: Route): void {
    this.lastAnswerAt = now;
    this.failures = 0;
    this.#updateRejections(0, now);
    this.unreported.requests += 1;
    this.unreported.total += duration;
    if (!waited) {
      this.#profile.addSample(duration, route);
      this.#addSample(duration, SERVICE_TIME_SAMPLE_WEIGHT, now, route);
    }
    this.#profile.groups.recordAnswer(this.isReserved, this.#profile.workTime(route));
  }

  #addSample(duration: Milliseconds, weight: number, now: Milliseconds, route: Route): void {
    const previous = this.#decayedTime(now);
    const relative = this.#decayedRelativeTime(now);
    this.#serverTime = previous + (duration - previous) * weight;
    this.#relativeTime = relative + (duration / this.#profile.workTime(route) - relative) * weight;
    this.#sampledAt = now;
  }

  /** Returns this server's service time, decayed towards its service's mean with the age of the last sample. */
  #decayedTime(now: Milliseconds): Milliseconds {
    const { mean } = this.#profile;
    const decay = Math.exp((this.#sampledAt - now) / SERVICE_TIME_DECAY_TIME);
    return this.#serverTime === null ? mean : mean + (this.#serverTime - mean) * decay;
  }

  /** Returns the time of a request here as a multiple of its route's mean, decayed towards 1 with the age of the last sample. */
  #decayedRelativeTime(now: Milliseconds): number {
    if (this.#serverTime === null) {
      return 1;
    }
    return 1 + (this.#relativeTime - 1) * Math.exp((this.#sampledAt - now) / SERVICE_TIME_DECAY_TIME);
  }

  /** Records that a request ended without an answer after `duration`; `waited` is whether it may have waited for a slot of the server. */
  recordUnanswered(duration: Milliseconds, now: Milliseconds, waited: boolean, route: Route): void {
    this.unreported.total += duration;
    if (!waited && duration > this.#usualTimeOf(route)) {
      this.#addSample(duration, UNANSWERED_SAMPLE_WEIGHT, now, route);
    }
  }

  /** Forgets failures that were not the server's. */
  forgetFailures(): void {
    this.failures = 0;
    this.avoidUntil = 0;
  }

  /** Returns the estimated number of requests at the server, from this and other daemons. */
  estimatedInFlight(now: Milliseconds): number {
    return this.inFlight.size + this.otherRequests(now);
  }

  #usualTimeOf(route: Route): Milliseconds {
    const { comparesRoutes } = this.#profile;
    return comparesRoutes ? this.#relativeTime * this.#profile.workTime(route) : this.serviceTime;
  }

  /** Returns the expected time until a new request of a route at a balanced server is answered, without a slowdown. */
  balancedResponseTime(slots: number, route: Route, now: Milliseconds): Milliseconds {
    const profile = this.#profile;
    const rounds = expectedQueuedRounds(slots, this.inFlight.size, this.otherRequests(now));
    if (!profile.comparesRoutes) {
      return this.#decayedTime(now) * (1 + rounds);
    }
    const queueWork = profile.groups.queueWork(this.isReserved) ?? profile.mean;
    return this.#decayedRelativeTime(now) * (profile.workTime(route) + rounds * queueWork);
  }

  /** Returns how long the next request is expected to wait at a balanced server after one more request was sent there. */
  waitBehindBalanced(slots: number, now: Milliseconds): Milliseconds {
    const { groups, mean } = this.#profile;
    const rounds = expectedQueuedRounds(slots, this.inFlight.size + 1, this.otherRequests(now));
    return this.#decayedRelativeTime(now) * rounds * (groups.queueWork(this.isReserved) ?? mean);
  }

  /** Returns how long the next request waits at an owner of keys after one more request was sent there. */
  waitBehindNext(slots: number, now: Milliseconds): Milliseconds {
    const queuedRounds = Math.max(0, this.estimatedInFlight(now) + 2 - slots) / slots;
    return this.#decayedTime(now) * queuedRounds;
  }

  /** Returns the expected time until a new request at an owner of keys is answered. */
  expectedResponseTime(slots: number, now: Milliseconds): Milliseconds {
    const queuedRounds = Math.max(0, this.estimatedInFlight(now) + 1 - slots) / slots;
    return this.#decayedTime(now) * (1 + queuedRounds);
  }

  /** Returns the expected slowdown of the server as a multiple of its usual time; an old report counts little. */
  slowdown(now: Milliseconds): number {
    return 1 + (this.#slowdown - 1) * Math.exp((this.#reportedAt - now) / SLOWDOWN_DECAY_TIME);
  }

  /** Returns whether the oldest request in flight is unanswered for too long while no other request has been answered since it was sent. */
  isUnresponsive(now: Milliseconds): boolean {
    for (const sentAt of this.inFlight.values()) {
      // The first entry is the oldest one, since entries are in the order of sending.
      return now - sentAt > this.#unresponsiveTimeout() && this.lastAnswerAt < sentAt;
    }
    return false;
  }

  #unresponsiveTimeout(): Milliseconds {
    const floor = this.#profile.hasEnoughSamples
      ? MIN_UNRESPONSIVE_TIME
      : MIN_UNRESPONSIVE_TIME_UNKNOWN_SERVICE;
    return Math.max(floor, UNRESPONSIVE_FACTOR * this.usualTime);
  }
}
