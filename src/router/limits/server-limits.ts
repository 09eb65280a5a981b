/**
 * The limits that servers name in their answers, by the life of a server. An answer is made somewhere between the sending of its request
 * and its arrival. A limit counts from the arrival; its end, and a higher one, only from an answer whose request was sent after the last word
 * of the limit in force: answers overtake each other, and work that began before a limit says nothing of its end. Of the words of several
 * daemons the latest holds.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';

/** With about 60 bytes each, a daemon that joins is sent 30 KB at most. */
const MOST_SERVERS = 512;
/** Nobody has sent anything to a server for this long if no answer has confirmed its limit: the next answer says what holds. */
const UNCONFIRMED_MEMORY: Milliseconds = 60_000;
/** The end of a limit is remembered for longer than word of it takes to pass. */
const END_MEMORY: Milliseconds = 10_000;

/** Word takes up to this long from one daemon to the next, and does not become newer by that. */
const HOP: Milliseconds = 10;

/** What was last known of a server's limit. */
export interface ServerLimit {
  /** Null: it has ceased to name one. */
  readonly rate: RequestsPerSecond | null;
  /** When that was known to hold, by this daemon's clock. */
  readonly at: Milliseconds;
  /** Since when a limit has been in force, or since when none has. */
  readonly since: Milliseconds;
}

/** A server's limit, as daemons tell each other. */
export interface LimitStatement {
  readonly server: ServerId;
  /** Null: it has ceased to name one. */
  readonly limit: NamedLimit | null;
  /** How long ago that was known to hold. */
  readonly age: Milliseconds;
}

export interface NamedLimit {
  readonly rate: RequestsPerSecond;
}

/** A change of a limit in force. */
export interface LimitChange {
  readonly server: ServerId;
  readonly former: RequestsPerSecond | null;
  readonly rate: RequestsPerSecond | null;
}

function describe(server: ServerId, { rate, at }: ServerLimit, now: Milliseconds): LimitStatement {
  const limit = rate === null ? null : { rate };
  return { server, limit, age: Math.max(0, Math.round(now - at)) };
}

/** The limits that a daemon knows. */
export class ServerLimits {
  readonly #limits = new Map<ServerId, ServerLimit>();

  /** Nothing is known of any server: most of the time. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** The limit in force, or null. */
  of(server: ServerId): RequestsPerSecond | null {
    return this.#limits.get(server)?.rate ?? null;
  }

  /** Servers of which anything is known. */
  servers(): Iterable<ServerId> {
    return this.#limits.keys();
  }

  /** Limits in force. */
  get inForce(): ReadonlyMap<ServerId, ServerLimit> {
    return new Map([...this.#limits].filter(([, { rate }]) => rate !== null));
  }

  /**
   * An answer to this daemon named a limit, or none.
   *
   * @param sentAt when its request was sent
   * @returns what changes, or null
   */
  read(
    server: ServerId,
    rate: RequestsPerSecond | null,
    sentAt: Milliseconds,
    now: Milliseconds,
  ): LimitChange | null {
    const known = this.#limits.get(server);
    const former = known?.rate ?? null;
    const isRelief = former !== null && (rate === null || rate > former);
    if ((rate === null && former === null) || (isRelief && sentAt <= (known?.at ?? now))) {
      return null;
    }
    return this.#put(server, rate, rate === null ? sentAt : now, now);
  }

  /** Another daemon told of a limit. Returns what changes, or null. */
  hear({ server, limit, age }: LimitStatement, now: Milliseconds): LimitChange | null {
    const at = now - Math.max(0, age) - HOP;
    const known = this.#limits.get(server);
    const isOlder = known !== undefined && at <= known.at;
    return isOlder ? null : this.#put(server, limit?.rate ?? null, at, now);
  }

  #put(
    server: ServerId,
    rate: RequestsPerSecond | null,
    at: Milliseconds,
    now: Milliseconds,
  ): LimitChange | null {
    const known = this.#limits.get(server);
    const former = known?.rate ?? null;
    const hasBegunOrEnded = known === undefined || (former === null) !== (rate === null);
    this.#limits.set(server, { rate, at, since: hasBegunOrEnded ? now : known.since });
    this.#bound();
    return former === rate ? null : { server, former, rate };
  }

  #bound(): void {
    const [oldest] = this.#limits.keys();
    if (this.#limits.size > MOST_SERVERS && oldest !== undefined) {
      this.#limits.delete(oldest);
    }
  }

  /** Whether a statement is behind what is known here: whoever made it should hear. */
  isBehind({ server, limit, age }: LimitStatement, now: Milliseconds): boolean {
    const known = this.#limits.get(server);
    return known !== undefined && known.rate !== (limit?.rate ?? null) && now - age < known.at;
  }

  /** What is known of some servers. */
  statementOf(servers: Iterable<ServerId>, now: Milliseconds): LimitStatement[] {
    return [...servers].flatMap((server) => {
      const known = this.#limits.get(server);
      return known === undefined ? [] : [describe(server, known, now)];
    });
  }

  /** All limits in force, for a daemon that knows none. */
  statement(now: Milliseconds): LimitStatement[] {
    return this.statementOf(this.inForce.keys(), now);
  }

  /** Forgets what was last known long ago. Returns the limits that were in force until now. */
  expire(now: Milliseconds): LimitChange[] {
    const ended: LimitChange[] = [];
    for (const [server, { rate, at }] of this.#limits) {
      if (now - at > (rate === null ? END_MEMORY : UNCONFIRMED_MEMORY)) {
        this.#limits.delete(server);
        if (rate !== null) {
          ended.push({ server, former: rate, rate: null });
        }
      }
    }
    return ended;
  }
}
