/** What this daemon has seen of one server: its own requests there, the server's load, its speed. */
import type { Milliseconds } from '../model/identifiers.js';
import { AdmissionWindow } from './admission-window.js';
import { ServiceProfile } from './service-profile.js';

/** What is known of the work of other daemons fades by e in this time. */
const LOAD_MEMORY: Milliseconds = 400;
/** What a server said of its speed fades by e in this time: it changes many times a second. */
const SLOWDOWN_MEMORY: Milliseconds = 300;
/** Weight of a new report against the faded one before. */
const REPORT_WEIGHT = 0.7;
/** Weight of a new service time in the average. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Weight of a request that got no answer: it would have taken longer still. */
const ABANDONED_WEIGHT = 0.2;
/** What is known of a server fades by e in this time without news: one that was slow is tried again. */
const SERVICE_TIME_MEMORY: Milliseconds = 6_000;
/** A server with a request unanswered for this many times its usual time, and for this long, is suspected. */
const SUSPICION_FACTOR = 4;
const SUSPICION_FLOOR: Milliseconds = 400;
/** The same while nobody knows how long requests of the service take. */
const SUSPICION_FLOOR_UNKNOWN: Milliseconds = 1_000;

/** What a server says of itself in an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times as long as usual work takes there at present, or null when it is not said. */
  readonly slowdown: number | null;
}

/** What a daemon has seen of a server's answers and not yet told. */
export interface UntoldAnswers {
  /** Answers, those that waited for a slot included. */
  requests: number;
  /** How long requests were there, those that got no answer included. */
  total: Milliseconds;
}

/** Kept for each server that is listed. */
export class ServerLoad {
  /** Requests of this daemon that are there now, by number, with the time of their sending. */
  readonly inFlight = new Map<number, Milliseconds>();
  /** How many requests for its keys it gets at once. */
  readonly window: AdmissionWindow;
  /** No new request goes there before this time. */
  avoidUntil: Milliseconds = 0;
  lastAnswerAt: Milliseconds = -1;
  /** Failures since the last good answer. */
  failures = 0;
  /** Not yet told to the leader. */
  readonly untold: UntoldAnswers = { requests: 0, total: 0 };
  readonly #profile: ServiceProfile;
  /** Average time of a request on an idle slot of this server, or null before one is known. */
  #ownTime: Milliseconds | null = null;
  #learnedAt: Milliseconds = 0;
  #others = 0;
  /** How many times as long as usual work took there when it was last said. */
  #slowdown = 1;
  #reportedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param profile what is known of the service's servers together
   * @param slots of the server
   * @param daemons that share it
   */
  constructor(profile: ServiceProfile, slots: number, daemons: number) {
    this.#profile = profile;
    this.window = new AdmissionWindow(slots, daemons);
  }

  /** Average time of a request on an idle slot; that of the service before this server is known. */
  get serviceTime(): Milliseconds {
    return this.#ownTime ?? this.#profile.mean;
  }

  /** Estimate of requests of other daemons that are there. What was reported long ago counts little. */
  others(now: Milliseconds): number {
    return this.#others * Math.exp((this.#reportedAt - now) / LOAD_MEMORY);
  }

  /** Takes in what a server reported with an answer. */
  report(load: ReportedLoad, now: Milliseconds): void {
    const seen = Math.max(0, load.running + load.waiting - this.inFlight.size);
    const before = this.others(now);
    this.#others = before + (seen - before) * REPORT_WEIGHT;
    this.#slowdown = load.slowdown ?? 1;
    this.#reportedAt = now;
  }

  /** The server shed a request without a word: it has at least as many waiting as it has slots. */
  noteShed(slots: number, now: Milliseconds): void {
    this.report({ running: slots, waiting: slots, slots, slowdown: null }, now);
  }

  /** Takes in how long an answer took; `waited`: the server may have let the request wait for a slot. */
  answered(duration: Milliseconds, now: Milliseconds, waited: boolean): void {
    this.lastAnswerAt = now;
    this.failures = 0;
    this.untold.requests += 1;
    this.untold.total += duration;
    if (!waited) {
      this.#profile.add(duration);
      this.#learn(duration, SERVICE_TIME_WEIGHT, now);
    }
  }

  #learn(duration: Milliseconds, weight: number, now: Milliseconds): void {
    const before = this.#fadedTime(now);
    this.#ownTime = before + (duration - before) * weight;
    this.#learnedAt = now;
  }

  /** The service time with what was learned long ago counting little. */
  #fadedTime(now: Milliseconds): Milliseconds {
    const { mean } = this.#profile;
    const memory = Math.exp((this.#learnedAt - now) / SERVICE_TIME_MEMORY);
    return this.#ownTime === null ? mean : mean + (this.#ownTime - mean) * memory;
  }

  /** A request ended there without an answer, after some time; `waited` as above. */
  abandoned(duration: Milliseconds, now: Milliseconds, waited: boolean): void {
    this.untold.total += duration;
    if (!waited && duration > this.serviceTime) {
      this.#learn(duration, ABANDONED_WEIGHT, now);
    }
  }

  /** Requests that are there now, as far as this daemon can tell. */
  busy(now: Milliseconds): number {
    return this.inFlight.size + this.others(now);
  }

  /** Expected time until a new request there is answered. */
  expectedTime(slots: number, now: Milliseconds): Milliseconds {
    const rounds = Math.max(0, this.busy(now) + 1 - slots) / slots;
    return this.#fadedTime(now) * (1 + rounds);
  }

  /** How many times as long as usual work is expected to take there: what was said long ago counts little. */
  slowdown(now: Milliseconds): number {
    return 1 + (this.#slowdown - 1) * Math.exp((this.#reportedAt - now) / SLOWDOWN_MEMORY);
  }

  /** A request there is unanswered for long, and nothing else has been answered since it was sent. */
  isSilent(now: Milliseconds): boolean {
    for (const sentAt of this.inFlight.values()) {
      // The first entry is the oldest: requests are added in the order of their sending.
      return now - sentAt > this.#longestSilence() && this.lastAnswerAt < sentAt;
    }
    return false;
  }

  /** A server that was quick so far is judged by its service, too: requests differ more than servers do. */
  #longestSilence(): Milliseconds {
    const floor = this.#profile.isKnown ? SUSPICION_FLOOR : SUSPICION_FLOOR_UNKNOWN;
    return Math.max(floor, SUSPICION_FACTOR * Math.max(this.serviceTime, this.#profile.mean));
  }
}
