/**
 * Token buckets of servers with rate limits: each request needs one permit. The leader keeps the buckets and receives the permit requests
 * of all daemons, so that the total is the limit for any number of daemons, and uneven demand leaves no capacity unused. Requests of higher
 * priority are granted first, then those that expire first; a request that can't be granted in time is denied immediately.
 */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { PermitAnswer, PermitAsk } from './permit-messages.js';

const SECOND: Milliseconds = 1_000;
/** Capacity of an idle bucket: this many tokens, or the refill of `BURST_TIME` if that is more. */
const MIN_BURST_TOKENS = 2;
const BURST_TIME: Milliseconds = 250;
/** Grant rates are calculated over the current period of this length and the previous one. */
const GRANT_COUNT_PERIOD: Milliseconds = 5_000;

interface QueuedPermitAsk {
  readonly ask: PermitAsk;
  readonly expiresAt: Milliseconds;
}

/** Sliding-window count of granted permits per daemon. */
class GrantCounter {
  #current = new Map<DaemonName, number>();
  #previous = new Map<DaemonName, number>();
  #periodStart: Milliseconds;

  constructor(now: Milliseconds) {
    this.#periodStart = now;
  }

  add(daemon: DaemonName, now: Milliseconds): void {
    this.#rotate(now);
    this.#current.set(daemon, (this.#current.get(daemon) ?? 0) + 1);
  }

  /** Returns the permits granted to each daemon, per second. */
  rates(now: Milliseconds): Map<DaemonName, RequestsPerSecond> {
    this.#rotate(now);
    const time = (now - this.#periodStart + (this.#previous.size > 0 ? GRANT_COUNT_PERIOD : 0)) / SECOND;
    const daemons = new Set([...this.#current.keys(), ...this.#previous.keys()]);
    const rate = (daemon: DaemonName): number =>
      ((this.#current.get(daemon) ?? 0) + (this.#previous.get(daemon) ?? 0)) / Math.max(1, time);
    return new Map([...daemons].map((daemon) => [daemon, rate(daemon)]));
  }

  #rotate(now: Milliseconds): void {
    const elapsed = now - this.#periodStart;
    if (elapsed >= GRANT_COUNT_PERIOD) {
      this.#previous = elapsed < 2 * GRANT_COUNT_PERIOD ? this.#current : new Map();
      this.#current = new Map();
      this.#periodStart = now;
    }
  }
}

/** The token bucket of one server, with the queue of permit requests. */
class TokenBucket {
  readonly grants: GrantCounter;
  lastGrantAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #tokens = 0;
  #refilledAt: Milliseconds;
  #queue: QueuedPermitAsk[] = [];

  constructor(now: Milliseconds) {
    this.#refilledAt = now;
    this.grants = new GrantCounter(now);
  }

  enqueue(ask: PermitAsk, now: Milliseconds): void {
    this.#queue.push({ ask, expiresAt: now + ask.wait });
    this.#queue.sort(
      (left, right) => left.ask.priority - right.ask.priority || left.expiresAt - right.expiresAt,
    );
  }

  get isIdle(): boolean {
    return this.#queue.length === 0;
  }

  /** Grants queued requests in order of priority; denies those that have expired or whose token would come too late. */
  grant(rate: RequestsPerSecond, now: Milliseconds): PermitAnswer[] {
    this.#refill(rate, now);
    const answers: PermitAnswer[] = this.#removeExpired(now).map(({ ask }) => this.#deny(ask, rate));
    while (this.#tokens >= 1 && this.#queue.length > 0) {
      const { ask } = this.#queue.shift() as QueuedPermitAsk;
      this.#tokens -= 1;
      this.lastGrantAt = now;
      this.grants.add(ask.daemon, now);
      answers.push(buildAnswer(ask, true, 0));
    }
    answers.push(...this.#removeUngrantable(rate, now).map(({ ask }) => this.#deny(ask, rate)));
    return answers;
  }

  #refill(rate: RequestsPerSecond, now: Milliseconds): void {
    const capacity = Math.max(MIN_BURST_TOKENS, (rate * BURST_TIME) / SECOND);
    this.#tokens = Math.min(capacity, this.#tokens + (rate * (now - this.#refilledAt)) / SECOND);
    this.#refilledAt = now;
  }

  /** Returns the time until a token is available for a request with `ahead` others before it. */
  #timeUntilToken(ahead: number, rate: RequestsPerSecond): Milliseconds {
    return Math.max(0, ((ahead + 1 - this.#tokens) * SECOND) / rate);
  }

  #deny(ask: PermitAsk, rate: RequestsPerSecond): PermitAnswer {
    const ahead = this.#queue.filter((other) => other.ask.priority <= ask.priority).length;
    return buildAnswer(ask, false, this.#timeUntilToken(ahead, rate));
  }

  #removeExpired(now: Milliseconds): QueuedPermitAsk[] {
    return this.#removeMatching(({ expiresAt }) => expiresAt < now);
  }

  /** Removes and returns the requests that would expire before a token is available. */
  #removeUngrantable(rate: RequestsPerSecond, now: Milliseconds): QueuedPermitAsk[] {
    let ahead = 0;
    return this.#removeMatching(({ expiresAt }) => {
      const isTooLate = now + this.#timeUntilToken(ahead, rate) > expiresAt;
      ahead += isTooLate ? 0 : 1;
      return isTooLate;
    });
  }

  #removeMatching(shouldRemove: (entry: QueuedPermitAsk) => boolean): QueuedPermitAsk[] {
    const remaining: QueuedPermitAsk[] = [];
    const removed: QueuedPermitAsk[] = [];
    this.#queue.forEach((entry) => (shouldRemove(entry) ? removed : remaining).push(entry));
    this.#queue = remaining;
    return removed;
  }
}

function buildAnswer(ask: PermitAsk, granted: boolean, nextPlaceIn: Milliseconds): PermitAnswer {
  const { server, requestId, priority, path } = ask;
  return { kind: 'permitAnswer', server, requestId, priority, granted, nextPlaceIn, path };
}

/** The leader's token buckets for all servers with rate limits. */
export class PermitBuckets {
  readonly #buckets = new Map<ServerId, TokenBucket>();

  /**
   * Enqueues a permit request and returns the answers that can be given now, to this request and to others in the queue.
   *
   * @param rate refill rate, or null if the server has no limit
   */
  requestPermit(ask: PermitAsk, rate: RequestsPerSecond | null, now: Milliseconds): PermitAnswer[] {
    if (rate === null) {
      return [buildAnswer(ask, true, 0)];
    }
    const bucket = this.#buckets.get(ask.server) ?? new TokenBucket(now);
    this.#buckets.set(ask.server, bucket);
    bucket.enqueue(ask, now);
    return bucket.grant(rate, now);
  }

  /** Returns answers to the queued requests for which a token is available or would come too late. */
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

  /** Returns when a permit for a server was last granted. */
  lastGrantAt(server: ServerId): Milliseconds {
    return this.#buckets.get(server)?.lastGrantAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Returns the rate at which each daemon was recently granted permits for a server. */
  grantRates(server: ServerId, now: Milliseconds): Map<DaemonName, RequestsPerSecond> {
    return this.#buckets.get(server)?.grants.rates(now) ?? new Map<DaemonName, RequestsPerSecond>();
  }
}
