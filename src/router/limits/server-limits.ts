/**
 * The rate limits that servers announce in their responses, by server incarnation. A server produces a response at some time between the
 * sending of the request and the arrival of the response. A new or lower limit takes effect when the response arrives. A higher limit, or
 * the end of a limit, takes effect only if the request was sent after the limit in force was last confirmed: responses overtake each other,
 * and work that began before the limit says nothing about its end. Of the statements of several daemons the most recent one applies.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';

/** Maximum number of servers whose limits are kept. At about 60 bytes each, a daemon that joins is sent 30 KB at most. */
const MAX_SERVERS = 512;
/**
 * Time for which a limit is kept without confirmation. If no response has confirmed it for this long, no daemon has sent the server a request;
 * its next response announces the limit that then applies.
 */
const UNCONFIRMED_LIMIT_RETENTION: Milliseconds = 60_000;
/** Time for which the end of a limit is remembered: longer than an update takes to reach all daemons. */
const ENDED_LIMIT_RETENTION: Milliseconds = 10_000;

/** Maximum transit time of an update from one daemon to the next; added to its age, so that forwarding makes no statement newer. */
const MAX_HOP_DELAY: Milliseconds = 10;

/** The last known state of a server's limit. */
export interface ServerLimit {
  /** Null if the server no longer announces a limit. */
  readonly rate: RequestsPerSecond | null;
  /** When the state was last confirmed, by this daemon's clock. */
  readonly at: Milliseconds;
  /** When the server began to have a limit, or to have none, whatever the values since. */
  readonly since: Milliseconds;
}

/** The state of a server's limit, as daemons send it to each other. */
export interface LimitStatement {
  readonly server: ServerId;
  /** Null if the server no longer announces a limit. */
  readonly limit: NamedLimit | null;
  /** Time since the state was last confirmed. */
  readonly age: Milliseconds;
}

/** A rate limit that a server announces. */
export interface NamedLimit {
  readonly rate: RequestsPerSecond;
}

/** A change of the limit in force at a server; null rates stand for no limit. */
export interface LimitChange {
  readonly server: ServerId;
  readonly former: RequestsPerSecond | null;
  readonly rate: RequestsPerSecond | null;
}

function toStatement(server: ServerId, { rate, at }: ServerLimit, now: Milliseconds): LimitStatement {
  const limit = rate === null ? null : { rate };
  return { server, limit, age: Math.max(0, Math.round(now - at)) };
}

/** The limits that this daemon knows. */
export class ServerLimits {
  readonly #limits = new Map<ServerId, ServerLimit>();

  /** Whether no server has or recently had a limit, which is the usual case. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** Returns the limit in force at a server, or null. */
  of(server: ServerId): RequestsPerSecond | null {
    return this.#limits.get(server)?.rate ?? null;
  }

  /** Returns the servers that have or recently had a limit. */
  servers(): Iterable<ServerId> {
    return this.#limits.keys();
  }

  /** The limits in force, by server. */
  get inForce(): ReadonlyMap<ServerId, ServerLimit> {
    return new Map([...this.#limits].filter(([, { rate }]) => rate !== null));
  }

  /**
   * Records the limit announced in a response to this daemon, or that the response announced none.
   *
   * @param sentAt when the request was sent
   * @returns the change of the limit in force, or null
   */
  recordReading(
    server: ServerId,
    rate: RequestsPerSecond | null,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): LimitChange | null {
    const known = this.#limits.get(server);
    const former = known?.rate ?? null;
    const isIncreaseOrEnd = former !== null && (rate === null || rate > former);
    if ((rate === null && former === null) || (isIncreaseOrEnd && sentAt <= (known?.at ?? now))) {
      return null;
    }
    return this.#record(server, rate, rate === null ? sentAt : now, now);
  }

  /** Merges a statement of another daemon. Returns the change of the limit in force, or null. */
  mergeStatement({ server, limit, age }: LimitStatement, now: Milliseconds): LimitChange | null {
    const at = now - Math.max(0, age) - MAX_HOP_DELAY;
    const known = this.#limits.get(server);
    const isOlder = known !== undefined && at <= known.at;
    return isOlder ? null : this.#record(server, limit?.rate ?? null, at, now);
  }

  #record(
    server: ServerId,
    rate: RequestsPerSecond | null,
    at: Milliseconds,
    now: Milliseconds,
  ): LimitChange | null {
    const known = this.#limits.get(server);
    const former = known?.rate ?? null;
    const hasBegunOrEnded = known === undefined || (former === null) !== (rate === null);
    this.#limits.set(server, { rate, at, since: hasBegunOrEnded ? now : known.since });
    this.#evictOldest();
    return former === rate ? null : { server, former, rate };
  }

  #evictOldest(): void {
    const [oldest] = this.#limits.keys();
    if (this.#limits.size > MAX_SERVERS && oldest !== undefined) {
      this.#limits.delete(oldest);
    }
  }

  /** Returns whether a statement is older than, and differs from, what this daemon knows, so that its sender needs an update. */
  isOutdated({ server, limit, age }: LimitStatement, now: Milliseconds): boolean {
    const known = this.#limits.get(server);
    return known !== undefined && known.rate !== (limit?.rate ?? null) && now - age < known.at;
  }

  /** Returns statements about the given servers, omitting those about which nothing is known. */
  statementsFor(servers: Iterable<ServerId>, now: Milliseconds): LimitStatement[] {
    return [...servers].flatMap((server) => {
      const known = this.#limits.get(server);
      return known === undefined ? [] : [toStatement(server, known, now)];
    });
  }

  /** Returns statements of all limits in force, for a daemon that knows none. */
  statement(now: Milliseconds): LimitStatement[] {
    return this.statementsFor(this.inForce.keys(), now);
  }

  /** Removes limits, and records of ended limits, whose last confirmation is too old. Returns the limits that were in force until now. */
  removeExpired(now: Milliseconds): LimitChange[] {
    const ended: LimitChange[] = [];
    for (const [server, { rate, at }] of this.#limits) {
      if (now - at > (rate === null ? ENDED_LIMIT_RETENTION : UNCONFIRMED_LIMIT_RETENTION)) {
        this.#limits.delete(server);
        if (rate !== null) {
          ended.push({ server, former: rate, rate: null });
        }
      }
    }
    return ended;
  }
}
