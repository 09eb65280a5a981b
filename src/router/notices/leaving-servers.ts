/**
 * Since when servers leave, as their answers said it: at this daemon or at another one. The earliest moment counts, and nothing takes it
 * back: not an entry or a list that is older than the answer, nor an answer that doesn't say so. Only another life of the server is
 * not bound by it.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** With about 60 bytes each, a daemon that joins is sent 30 KB at most. */
const MOST_SERVERS = 512;
/** Moments that differ by less are one: daemons hear of the same answer by ways that take different times. */
const SAME_MOMENT: Milliseconds = 250;

/** A server that leaves, as daemons tell each other. */
export interface LeavingServer {
  readonly server: ServerId;
  /** How long ago an answer first said so. */
  readonly age: Milliseconds;
}

/** The servers that a daemon knows to leave by answers. */
export class LeavingServers {
  readonly #since = new Map<ServerId, Milliseconds>();

  /** When an answer first said that a server leaves, or null. */
  since(server: ServerId): Milliseconds | null {
    return this.#since.get(server) ?? null;
  }

  /** Takes a moment in. Returns whether others should hear of it. */
  note(server: ServerId, at: Milliseconds): boolean {
    const before = this.#since.get(server) ?? Number.POSITIVE_INFINITY;
    if (at >= before) {
      return false;
    }
    this.#since.set(server, at);
    const [oldest] = this.#since.keys();
    if (this.#since.size > MOST_SERVERS && oldest !== undefined) {
      this.#since.delete(oldest);
    }
    return at < before - SAME_MOMENT;
  }

  /** All of them, for a daemon that knows none. */
  statement(now: Milliseconds): LeavingServer[] {
    return [...this.#since].map(([server, at]) => ({ server, age: Math.max(0, Math.round(now - at)) }));
  }
}
