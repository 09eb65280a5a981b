/**
 * Token buckets of servers with limits: one permit for each request. The leader keeps them and sees the requests of all daemons, so that the sum is
 * the limit whatever the number of daemons, and uneven demand wastes nothing. Requests of higher priority come first, then those that expire first; one
 * that can't be served in time is denied at once.
 */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { PermitAnswer, PermitAsk } from './permit-messages.js';

const SECOND: Milliseconds = 1_000;
/** Tokens that accumulate while nobody asks: this many, or those of this time. */
const LEAST_BURST = 2;
const BURST_TIME: Milliseconds = 250;
/** Grants are counted over this time and the one before. */
const COUNT_PERIOD: Milliseconds = 5_000;

interface WaitingAsk {
  readonly ask: PermitAsk;
  readonly expiresAt: Milliseconds;
}

/** Sliding-window count of granted permits per daemon. */
class GrantCounts {
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

/** The tokens of one server, and the requests that wait for them. */
class TokenBucket {
  readonly grants: GrantCounts;
  lastGrantAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #tokens = 0;
  #filledAt: Milliseconds;
  #waiting: WaitingAsk[] = [];

  constructor(now: Milliseconds) {
    this.#filledAt = now;
    this.grants = new GrantCounts(now);
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

  /** Grants waiting requests in order of priority; denies those that have expired. */
  grant(rate: RequestsPerSecond, now: Milliseconds): PermitAnswer[] {
    this.#fill(rate, now);
    const answers: PermitAnswer[] = this.#takeExpired(now).map(({ ask }) => this.#deny(ask, rate));
    while (this.#tokens >= 1 && this.#waiting.length > 0) {
      const { ask } = this.#waiting.shift() as WaitingAsk;
      this.#tokens -= 1;
      this.lastGrantAt = now;
      this.grants.add(ask.daemon, now);
      answers.push(answerTo(ask, true, 0));
    }
    answers.push(...this.#takeHopeless(rate, now).map(({ ask }) => this.#deny(ask, rate)));
    return answers;
  }

  #fill(rate: RequestsPerSecond, now: Milliseconds): void {
    const most = Math.max(LEAST_BURST, (rate * BURST_TIME) / SECOND);
    this.#tokens = Math.min(most, this.#tokens + (rate * (now - this.#filledAt)) / SECOND);
    this.#filledAt = now;
  }

  /** Time until the token after so many others is there. */
  #tokenAfter(others: number, rate: RequestsPerSecond): Milliseconds {
    return Math.max(0, ((others + 1 - this.#tokens) * SECOND) / rate);
  }

  #deny(ask: PermitAsk, rate: RequestsPerSecond): PermitAnswer {
    const ahead = this.#waiting.filter((other) => other.ask.priority <= ask.priority).length;
    return answerTo(ask, false, this.#tokenAfter(ahead, rate));
  }

  #takeExpired(now: Milliseconds): WaitingAsk[] {
    return this.#takeThose(({ expiresAt }) => expiresAt < now);
  }

  /** Requests whose token comes after they expire. */
  #takeHopeless(rate: RequestsPerSecond, now: Milliseconds): WaitingAsk[] {
    let ahead = 0;
    return this.#takeThose(({ expiresAt }) => {
      const isHopeless = now + this.#tokenAfter(ahead, rate) > expiresAt;
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
export class PermitBuckets {
  readonly #buckets = new Map<ServerId, TokenBucket>();

  /**
   * Takes a request for a permit in, and answers it and others if they can be answered.
   *
   * @param rate of refill; null: the server has no limit
   */
  ask(ask: PermitAsk, rate: RequestsPerSecond | null, now: Milliseconds): PermitAnswer[] {
    if (rate === null) {
      return [answerTo(ask, true, 0)];
    }
    const bucket = this.#buckets.get(ask.server) ?? new TokenBucket(now);
    this.#buckets.set(ask.server, bucket);
    bucket.add(ask, now);
    return bucket.grant(rate, now);
  }

  /** Answers the waiting requests whose token is there, or comes too late. */
  tick(rateOf: (server: ServerId) => RequestsPerSecond | null, now: Milliseconds): PermitAnswer[] {
    const answers: PermitAnswer[] = [];
    for (const [server, bucket] of this.#buckets) {
      const rate = rateOf(server);
      if (rate === null && bucket.isIdle) {
        this.#buckets.delete(server);
      } else if (!bucket.isIdle) {
        answers.push(...bucket.grant(rate ?? Number.MAX_SAFE_INTEGER, now));
      }
    }
    return answers;
  }

  /** When a permit for a server was last granted. */
  lastGrantAt(server: ServerId): Milliseconds {
    return this.#buckets.get(server)?.lastGrantAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Permits a second that daemons were granted lately for a server. */
  grantRates(server: ServerId, now: Milliseconds): Map<DaemonName, RequestsPerSecond> {
    return this.#buckets.get(server)?.grants.rates(now) ?? new Map<DaemonName, RequestsPerSecond>();
  }
}
