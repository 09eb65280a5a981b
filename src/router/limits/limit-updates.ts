/** Which limit updates other daemons have been sent, and which are due. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** Changes of one server's limit are told no more often: some name another one with each answer. */
const TELL_INTERVAL: Milliseconds = 100;
/** A limit that stays is told again after this long: daemons forget one that nobody confirms. */
const REFRESH_INTERVAL: Milliseconds = 15_000;

/** Limit updates that were sent to other daemons, and those that are pending. */
export class LimitUpdates {
  readonly #toldAt = new Map<ServerId, Milliseconds>();
  readonly #untold = new Set<ServerId>();

  /** A server's limit has changed, or others have an older word of it. */
  add(server: ServerId): void {
    this.#untold.add(server);
  }

  /** Others know what is known here. */
  noteTold(server: ServerId, now: Milliseconds): void {
    this.#toldAt.set(server, now);
    this.#untold.delete(server);
  }

  /** Whether others have heard nothing of a server for long. */
  isStale(server: ServerId, now: Milliseconds): boolean {
    return this.#sinceTold(server, now) > REFRESH_INTERVAL;
  }

  /** Servers of which others may be told now. */
  due(now: Milliseconds): ServerId[] {
    return [...this.#untold].filter((server) => this.#sinceTold(server, now) >= TELL_INTERVAL);
  }

  forget(server: ServerId): void {
    this.#toldAt.delete(server);
    this.#untold.delete(server);
  }

  #sinceTold(server: ServerId, now: Milliseconds): Milliseconds {
    return now - (this.#toldAt.get(server) ?? Number.NEGATIVE_INFINITY);
  }
}
