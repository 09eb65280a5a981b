/** What this daemon has seen of one server: its own requests there, the server's load, its speed. */
import type { Milliseconds } from '../model/identifiers.js';

/** The work of other daemons is averaged over about this long. */
const LOAD_MEMORY: Milliseconds = 300;
/** Weight of a new service time in the average. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Before anything is known, a request is taken to last this long. */
const FIRST_SERVICE_TIME: Milliseconds = 80;
/** A server with a request unanswered for this many times its usual time, and for this long, is suspected. */
const SUSPICION_FACTOR = 4;
const SUSPICION_FLOOR: Milliseconds = 400;

/** What a server says of itself in an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Kept for each server that is listed. */
export class ServerLoad {
  /** Requests of this daemon that are there now, by number, with the time of their sending. */
  readonly inFlight = new Map<number, Milliseconds>();
  /** Estimate of requests of other daemons that are there. */
  others = 0;
  /** Average time of a request on an idle slot. */
  serviceTime: Milliseconds = FIRST_SERVICE_TIME;
  /** No new request goes there before this time. */
  avoidUntil: Milliseconds = 0;
  lastAnswerAt: Milliseconds = -1;
  /** Failures since the last good answer. */
  failures = 0;
  #reportedAt: Milliseconds = -1;

  /** Takes in what a server reported with an answer. */
  report(load: ReportedLoad, now: Milliseconds): void {
    const seen = Math.max(0, load.running + load.waiting - this.inFlight.size);
    const elapsed = this.#reportedAt < 0 ? Number.POSITIVE_INFINITY : now - this.#reportedAt;
    const weight = 1 - Math.exp(-elapsed / LOAD_MEMORY);
    this.others += (seen - this.others) * Math.max(weight, 0.2);
    this.#reportedAt = now;
  }

  /** Takes in how long an answer took. */
  answered(duration: Milliseconds, now: Milliseconds, slots: number): void {
    const queued = Math.max(1, (this.inFlight.size + 1 + this.others) / slots);
    this.serviceTime += (duration / queued - this.serviceTime) * SERVICE_TIME_WEIGHT;
    this.lastAnswerAt = now;
    this.failures = 0;
  }

  /** Expected time until a new request there is answered. */
  expectedTime(slots: number): Milliseconds {
    const busy = this.inFlight.size + this.others;
    const rounds = Math.max(0, busy + 1 - slots) / slots;
    return this.serviceTime * (1 + rounds);
  }

  /** A request there is unanswered for long, and nothing else has been answered since it was sent. */
  isSilent(now: Milliseconds): boolean {
    for (const sentAt of this.inFlight.values()) {
      // The first entry is the oldest: requests are added in the order of their sending.
      const limit = Math.max(SUSPICION_FLOOR, SUSPICION_FACTOR * this.serviceTime);
      return now - sentAt > limit && this.lastAnswerAt < sentAt;
    }
    return false;
  }
}
