/** Tracks which limit updates were sent to other daemons and which are due. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** Minimum time between updates about one server: some servers announce a different limit with each response. */
const MIN_UPDATE_INTERVAL: Milliseconds = 100;
/** Time after which an unchanged limit is sent again: daemons remove limits that are not confirmed. */
const REFRESH_INTERVAL: Milliseconds = 15_000;

/** Limit updates by server: when the last one was sent, and whether another is pending. */
export class LimitUpdates {
  readonly #sentAt = new Map<ServerId, Milliseconds>();
  readonly #pending = new Set<ServerId>();

  /** Marks an update about a server as pending: its limit has changed, or another daemon has an outdated one. */
  markPending(server: ServerId): void {
    this.#pending.add(server);
  }

  /** Records that the current limit of a server was sent to the other daemons. */
  markSent(server: ServerId, now: Milliseconds): void {
    this.#sentAt.set(server, now);
    this.#pending.delete(server);
  }

  /** Returns whether the last update about a server is older than the refresh interval. */
  isStale(server: ServerId, now: Milliseconds): boolean {
    return this.#timeSinceSent(server, now) > REFRESH_INTERVAL;
  }

  /** Returns the servers whose pending updates may be sent now. */
  dueServers(now: Milliseconds): ServerId[] {
    return [...this.#pending].filter((server) => this.#timeSinceSent(server, now) >= MIN_UPDATE_INTERVAL);
  }

  remove(server: ServerId): void {
    this.#sentAt.delete(server);
    this.#pending.delete(server);
  }

  #timeSinceSent(server: ServerId, now: Milliseconds): Milliseconds {
    return now - (this.#sentAt.get(server) ?? Number.NEGATIVE_INFINITY);
  }
}
