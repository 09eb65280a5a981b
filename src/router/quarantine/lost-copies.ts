/**
 * Copies of one request that were lost with servers that ended, and since when there are so many that it is sent one at a time. A request that
 * came twelve times a second was sent to two more servers in eight copies while its ends were counted by servers alone.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

/** So many copies, at one server or at several, make a request suspect. */
export const COPIES_FOR_HOLD = 3;

/** A set for each server: additions may come in any order, and again. */
export class LostCopies {
  readonly #byServer = new Map<ServerId, Set<string>>();
  #heldSince: Milliseconds = Number.POSITIVE_INFINITY;

  /** Those that are known of a server, by name. */
  of(server: ServerId): string[] {
    return [...(this.#byServer.get(server) ?? [])];
  }

  /** Takes copies in by name. Returns whether that is news: no more are kept than matter. */
  add(server: ServerId, copies: readonly string[], now: Milliseconds): boolean {
    const known = this.#byServer.get(server) ?? new Set<string>();
    const added = copies.filter((copy) => !known.has(copy)).slice(0, COPIES_FOR_HOLD - known.size);
    added.forEach((copy) => known.add(copy));
    this.#byServer.set(server, known);
    if (this.#total() >= COPIES_FOR_HOLD) {
      this.#heldSince = Math.min(this.#heldSince, now);
    }
    return added.length > 0;
  }

  /** The end of a server doesn't count any more. */
  forget(server: ServerId): void {
    this.#byServer.delete(server);
    if (this.#total() < COPIES_FOR_HOLD) {
      this.#heldSince = Number.POSITIVE_INFINITY;
    }
  }

  /** Whether there have been enough of them for some time. */
  areEnough(confirmation: Milliseconds, now: Milliseconds): boolean {
    return now - this.#heldSince >= confirmation;
  }

  #total(): number {
    return [...this.#byServer.values()].reduce((total, { size }) => total + size, 0);
  }
}
