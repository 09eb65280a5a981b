/**
 * Copies of one request that were lost with crashed servers, and since when there have been so many that the request is
 * sent one copy at a time. Counting crashed servers alone reacts too late: a request received twelve times a second was
 * sent to two more servers, in eight copies, before three servers had crashed under it.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** A request is held back after this many copies of it were lost, with one server or with several. */
export const LOST_COPIES_TO_HOLD_BACK = 3;

/** A set of copies for each server, so that additions may arrive in any order and more than once. */
export class LostCopies {
  readonly #byServer = new Map<ServerId, Set<string>>();
  #thresholdMetAt: Milliseconds = Number.POSITIVE_INFINITY;

  /** Returns the names of copies that were lost with a server. */
  of(server: ServerId): string[] {
    return [...(this.#byServer.get(server) ?? [])];
  }

  /** Adds lost copies by name, up to the threshold for each server. Returns whether any was added. */
  add(server: ServerId, copies: readonly string[], now: Milliseconds): boolean {
    const known = this.#byServer.get(server) ?? new Set<string>();
    const added = copies.filter((copy) => !known.has(copy)).slice(0, LOST_COPIES_TO_HOLD_BACK - known.size);
    added.forEach((copy) => known.add(copy));
    this.#byServer.set(server, known);
    if (this.#copyCount() >= LOST_COPIES_TO_HOLD_BACK) {
      this.#thresholdMetAt = Math.min(this.#thresholdMetAt, now);
    }
    return added.length > 0;
  }

  /** Removes the copies of a server whose crash no longer counts. */
  removeServer(server: ServerId): void {
    this.#byServer.delete(server);
    if (this.#copyCount() < LOST_COPIES_TO_HOLD_BACK) {
      this.#thresholdMetAt = Number.POSITIVE_INFINITY;
    }
  }

  /** Whether the threshold has been met for at least the confirmation time. */
  meetThresholdFor(confirmation: Milliseconds, now: Milliseconds): boolean {
    return now - this.#thresholdMetAt >= confirmation;
  }

  /** Whether the threshold is met and counts as confirmed at any time. */
  get isConfirmed(): boolean {
    return this.#thresholdMetAt === Number.NEGATIVE_INFINITY;
  }

  /** Treats the threshold, if it is met, as confirmed. Returns whether that is new. */
  confirm(): boolean {
    if (this.isConfirmed || this.#copyCount() < LOST_COPIES_TO_HOLD_BACK) {
      return false;
    }
    this.#thresholdMetAt = Number.NEGATIVE_INFINITY;
    return true;
  }

  #copyCount(): number {
    return [...this.#byServer.values()].reduce((total, { size }) => total + size, 0);
  }
}
