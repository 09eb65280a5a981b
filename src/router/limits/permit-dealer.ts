/**
 * Deals out the places of servers with limits, one permit for each request. Whoever deals sees what all daemons want, so that nothing is lost
 * where it is uneven, and the sum is the limit whatever the number of daemons. More urgent requests come first, then those that can wait for the
 * shortest time; one that can't be served in time is told so at once.
 */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { PermitAnswer, PermitAsk } from './permit-messages.js';

const SECOND: Milliseconds = 1_000;
/** Places that may be saved up while nobody asks: this many, or those of this time. */
const LEAST_SAVED = 2;
const SAVED_TIME: Milliseconds = 250;
/** What each daemon was given is counted over this time, and the one before. */
const COUNT_PERIOD: Milliseconds = 5_000;

interface WaitingAsk {
  readonly ask: PermitAsk;
  readonly expiresAt: Milliseconds;
}

/** Permits that daemons were given lately. */
class DealtCounts {
  #current = new Map<DaemonName, number>();
  #former = new Map<DaemonName, number>();
  #since: Milliseconds;

  constructor(now: Milliseconds) {
    this.#since = now;
  }

  add(daemon: DaemonName, now: Milliseconds): void {
    this.#turn(now);
    this.#current.set(daemon, (this.#current.get(daemon) ?? 0) + 1);
  }

  /** Permits a second by daemon. */
  rates(now: Milliseconds): Map<DaemonName, RequestsPerSecond> {
    this.#turn(now);
    const time = (now - this.#since + (this.#former.size > 0 ? COUNT_PERIOD : 0)) / SECOND;
    const daemons = new Set([...this.#current.keys(), ...this.#former.keys()]);
    const rate = (daemon: DaemonName): number =>
      ((this.#current.get(daemon) ?? 0) + (this.#former.get(daemon) ?? 0)) / Math.max(1, time);
    return new Map([...daemons].map((daemon) => [daemon, rate(daemon)]));
  }

  #turn(now: Milliseconds): void {
    const passed = now - this.#since;
    if (passed >= COUNT_PERIOD) {
      this.#former = passed < 2 * COUNT_PERIOD ? this.#current : new Map();
      this.#current = new Map();
      this.#since = now;
    }
  }
}

/** The places of one server. */
class Bucket {
  readonly dealt: DealtCounts;
  dealtAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #places = 0;
  #filledAt: Milliseconds;
  #waiting: WaitingAsk[] = [];

  constructor(now: Milliseconds) {
    this.#filledAt = now;
    this.dealt = new DealtCounts(now);
  }

  add(ask: PermitAsk, now: Milliseconds): void {
    this.#waiting.push({ ask, expiresAt: now + ask.wait });
    this.#waiting.sort(
      (left, right) => left.ask.priority - right.ask.priority || left.expiresAt - right.expiresAt,
    );
  }

  get isIdle(): boolean {
    return this.#waiting.length === 0;
  }

  /** Answers whom it can. */
  deal(rate: RequestsPerSecond, now: Milliseconds): PermitAnswer[] {
    this.#fill(rate, now);
    const answers: PermitAnswer[] = this.#takeExpired(now).map(({ ask }) => this.#deny(ask, rate));
    while (this.#places >= 1 && this.#waiting.length > 0) {
      const { ask } = this.#waiting.shift() as WaitingAsk;
      this.#places -= 1;
      this.dealtAt = now;
      this.dealt.add(ask.daemon, now);
      answers.push(answerTo(ask, true, 0));
    }
    answers.push(...this.#takeHopeless(rate, now).map(({ ask }) => this.#deny(ask, rate)));
    return answers;
  }

  #fill(rate: RequestsPerSecond, now: Milliseconds): void {
    const most = Math.max(LEAST_SAVED, (rate * SAVED_TIME) / SECOND);
    this.#places = Math.min(most, this.#places + (rate * (now - this.#filledAt)) / SECOND);
    this.#filledAt = now;
  }

  /** Time until the place after so many others is free. */
  #placeAfter(others: number, rate: RequestsPerSecond): Milliseconds {
    return Math.max(0, ((others + 1 - this.#places) * SECOND) / rate);
  }

  #deny(ask: PermitAsk, rate: RequestsPerSecond): PermitAnswer {
    const ahead = this.#waiting.filter((other) => other.ask.priority <= ask.priority).length;
    return answerTo(ask, false, this.#placeAfter(ahead, rate));
  }

  #takeExpired(now: Milliseconds): WaitingAsk[] {
    return this.#takeThose(({ expiresAt }) => expiresAt < now);
  }

  /** Those whose place comes too late for them. */
  #takeHopeless(rate: RequestsPerSecond, now: Milliseconds): WaitingAsk[] {
    let ahead = 0;
    return this.#takeThose(({ expiresAt }) => {
      const isHopeless = now + this.#placeAfter(ahead, rate) > expiresAt;
      ahead += isHopeless ? 0 : 1;
      return isHopeless;
    });
  }

  #takeThose(isTaken: (waiting: WaitingAsk) => boolean): WaitingAsk[] {
    const kept: WaitingAsk[] = [];
    const taken: WaitingAsk[] = [];
    this.#waiting.forEach((waiting) => (isTaken(waiting) ? taken : kept).push(waiting));
    this.#waiting = kept;
    return taken;
  }
}

function answerTo(ask: PermitAsk, granted: boolean, nextPlaceIn: Milliseconds): PermitAnswer {
  const { server, requestId, priority, path } = ask;
  return { kind: 'permitAnswer', server, requestId, priority, granted, nextPlaceIn, path };
}

/** Kept by a leader for all servers with limits. */
export class PermitDealer {
  readonly #buckets = new Map<ServerId, Bucket>();

  /**
   * Takes a wish in and answers whom it can.
   *
   * @param rate at which permits for the server are dealt out; null: it has no limit
   */
  ask(ask: PermitAsk, rate: RequestsPerSecond | null, now: Milliseconds): PermitAnswer[] {
    if (rate === null) {
      return [answerTo(ask, true, 0)];
    }
    const bucket = this.#buckets.get(ask.server) ?? new Bucket(now);
    this.#buckets.set(ask.server, bucket);
    bucket.add(ask, now);
    return bucket.deal(rate, now);
  }

  /** Answers those who wait and whose place has come, or comes too late. */
  tick(rateOf: (server: ServerId) => RequestsPerSecond | null, now: Milliseconds): PermitAnswer[] {
    const answers: PermitAnswer[] = [];
    for (const [server, bucket] of this.#buckets) {
      const rate = rateOf(server);
      if (rate === null && bucket.isIdle) {
        this.#buckets.delete(server);
      } else if (!bucket.isIdle) {
        answers.push(...bucket.deal(rate ?? Number.MAX_SAFE_INTEGER, now));
      }
    }
    return answers;
  }

  /** When a permit for a server was last given. */
  lastDealtAt(server: ServerId): Milliseconds {
    return this.#buckets.get(server)?.dealtAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Permits a second that daemons were given lately for a server. */
  dealtRates(server: ServerId, now: Milliseconds): Map<DaemonName, RequestsPerSecond> {
    return this.#buckets.get(server)?.dealt.rates(now) ?? new Map<DaemonName, RequestsPerSecond>();
  }
}
