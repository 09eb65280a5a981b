/**
 * When this daemon last heard from one server, and which of its calls have failed since. A failed call alone says nothing about the server:
 * the path between the two machines may be lost.
 */
import type { Milliseconds } from '../model/identifiers.js';

export class ServerContact {
  /** When a response of the server last arrived, to a request, a probe or a control call. */
  heardAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Start of the first call since then that ended without a response; null: none has. */
  failedSince: Milliseconds | null = null;
  lastFailedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** No connection could be opened when this was last checked. */
  isOutOfReach = false;
  /** When the last check began, and when one last ended. */
  checkedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  checkEndedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Whether any response of the server has arrived. */
  get wasHeard(): boolean {
    return this.heardAt !== Number.NEGATIVE_INFINITY;
  }

  /** Records a response of the server. */
  recordHeard(now: Milliseconds): void {
    this.heardAt = now;
    this.failedSince = null;
    this.isOutOfReach = false;
  }

  /** Records that a call ended without a response. */
  recordFailure(startedAt: Milliseconds, now: Milliseconds): void {
    this.failedSince ??= startedAt;
    this.lastFailedAt = now;
  }
}
