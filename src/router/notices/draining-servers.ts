/**
 * Since when servers have been draining, as responses to this daemon or to another one have said. The earliest time counts
 * and is never revoked: not by an entry or a list that is older than the response, nor by a response that doesn't
 * say so. Only another incarnation of the server is not affected.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** Maximum number of servers kept. At about 60 bytes each, a daemon that joins receives at most 30 KB. */
const MAX_SERVERS = 512;
/**
 * A time that is earlier by no more than this is not propagated: the same response is reported to daemons over paths of
 * different delay.
 */
const TIME_TOLERANCE: Milliseconds = 250;

/** A draining server, as daemons report it to each other. */
export interface LeavingServer {
  readonly server: ServerId;
  /** How long ago a response first said that the server is draining. */
  readonly age: Milliseconds;
}

/** The servers that a daemon knows from responses to be draining. */
export class DrainingServers {
  readonly #since = new Map<ServerId, Milliseconds>();

  /** Returns when a response first said that a server is draining, or null. */
  drainingSince(server: ServerId): Milliseconds | null {
    return this.#since.get(server) ?? null;
  }

  /** Records the time of a response that said that a server is draining. Returns whether to propagate it. */
  record(server: ServerId, at: Milliseconds): boolean {
    const before = this.#since.get(server) ?? Number.POSITIVE_INFINITY;
    if (at >= before) {
      return false;
    }
    this.#since.set(server, at);
    const [oldest] = this.#since.keys();
    if (this.#since.size > MAX_SERVERS && oldest !== undefined) {
      this.#since.delete(oldest);
    }
    return at < before - TIME_TOLERANCE;
  }

  /** Returns all draining servers, for a daemon that knows none. */
  statement(now: Milliseconds): LeavingServer[] {
    return [...this.#since].map(([server, at]) => ({ server, age: Math.max(0, Math.round(now - at)) }));
  }
}
