/**
 * One daemon's permits for one rate-limited server: those granted, those requested, and when the next may be available. While the leader
 * grants none, the daemon sends in the send windows of an equal share instead.
 */
import type { Milliseconds } from '../model/identifiers.js';
import { SendWindows } from '../sharing/send-windows.js';
import { type LimitShare, equalShareInterval } from './limit-share.js';

/** Time for which a permit may be used: a permit that is saved for later would exceed the limit then. */
const PERMIT_VALIDITY: Milliseconds = 300;
/** Time after the end of its permitted wait at which the answer to a permit request is overdue. */
const ANSWER_TIMEOUT: Milliseconds = 250;
/** A request that can wait for less than this requests no permit: the answer would arrive too late. */
export const ANSWER_MARGIN: Milliseconds = 25;

/** A request that needs a permit. */
export interface PermitCandidate {
  readonly id: number;
  readonly priority: number;
  /** Time until which the request can be held. */
  readonly holdUntil: Milliseconds;
}

/** Whether a request may be sent now (`free`), perhaps in time once a permit arrives (`awaited`), or not in time (`none`). */
export type SendPermission = 'free' | 'awaited' | 'none';

/** Permits of one daemon for one server. */
export class Permits {
  readonly #sendWindows: SendWindows;
  /** Expiry times of the unused permits, in ascending order. */
  #validUntil: Milliseconds[] = [];
  /** Times at which the answers to outstanding permit requests are overdue, by request id. */
  readonly #requested = new Map<number, Milliseconds>();
  /** Times before which no permit is available to requests of a priority and less urgent ones, by priority. */
  readonly #unavailableUntil = new Map<number, Milliseconds>();

  /** @param phase offset of the send windows of an equal share, from 0 to 1 */
  constructor(phase: number) {
    this.#sendWindows = new SendWindows(phase);
  }

  /** Returns whether and when a request may be sent. */
  sendPermissionFor(request: PermitCandidate, share: LimitShare, now: Milliseconds): SendPermission {
    if (this.count(now) > 0) {
      return 'free';
    }
    if (!share.isLeaderGranting) {
      return this.#sendWindows.allows(equalShareInterval(share), now) ? 'free' : 'none';
    }
    const isInTime =
      Math.max(now, this.#nextAvailableAt(request.priority)) + ANSWER_MARGIN <= request.holdUntil;
    return isInTime ? 'awaited' : 'none';
  }

  /** Returns the time until a request of a priority can probably be sent. */
  timeUntilPermission(priority: number, share: LimitShare, now: Milliseconds): Milliseconds {
    return share.isLeaderGranting
      ? Math.max(0, this.#nextAvailableAt(priority) - now)
      : this.#sendWindows.timeUntilNext(equalShareInterval(share), now);
  }

  /** Returns the number of permits that may be used now. */
  count(now: Milliseconds): number {
    while (this.#validUntil.length > 0 && (this.#validUntil[0] as number) < now) {
      this.#validUntil.shift();
    }
    return this.#validUntil.length;
  }

  /** Records that a request is sent: uses a permit, or else the current send window. */
  recordSend(now: Milliseconds): void {
    if (this.count(now) > 0) {
      this.#validUntil.shift();
    } else {
      this.#sendWindows.recordSend(now);
    }
  }

  /** Returns the permit of a request that was not sent. */
  returnUnused(now: Milliseconds): void {
    this.#addPermit(now + PERMIT_VALIDITY);
  }

  /** Returns whether a permit was requested for a request and the answer is outstanding. */
  isRequested(requestId: number): boolean {
    return this.#requested.has(requestId);
  }

  /** Records that a permit was requested. */
  recordRequested(requestId: number, wait: Milliseconds, now: Milliseconds): void {
    this.#requested.set(requestId, now + wait + ANSWER_TIMEOUT);
  }

  /** Records a grant, unless its answer is overdue: the permit may have been granted long ago, and its capacity used by other daemons since. */
  recordGranted(requestId: number, now: Milliseconds): void {
    const dueAt = this.#endRequest(requestId, now);
    if (dueAt !== null) {
      this.#addPermit(Math.min(now + PERMIT_VALIDITY, dueAt));
    }
  }

  /** Records a denial, unless its answer is overdue: the time that it gives counts from the moment of the denial. */
  recordDenied(requestId: number, priority: number, nextPlaceIn: Milliseconds, now: Milliseconds): void {
    if (this.#endRequest(requestId, now) !== null) {
      this.#unavailableUntil.set(priority, now + nextPlaceIn);
    }
  }

  /** Removes permit requests whose answers are overdue. Returns whether there were any. */
  removeOverdue(now: Milliseconds): boolean {
    let isOverdue = false;
    for (const [requestId, dueAt] of this.#requested) {
      if (dueAt < now) {
        this.#requested.delete(requestId);
        isOverdue = true;
      }
    }
    return isOverdue;
  }

  /** Discards permits and outstanding permit requests, when other daemons may have been granted their capacity. */
  clear(): void {
    this.#validUntil = [];
    this.#requested.clear();
    this.#unavailableUntil.clear();
  }

  /** Ends an outstanding permit request. Returns when its answer is overdue; null: it is overdue already, or none is outstanding. */
  #endRequest(requestId: number, now: Milliseconds): Milliseconds | null {
    const dueAt = this.#requested.get(requestId);
    this.#requested.delete(requestId);
    return dueAt === undefined || dueAt < now ? null : dueAt;
  }

  #addPermit(validUntil: Milliseconds): void {
    this.#validUntil.push(validUntil);
    this.#validUntil.sort((left, right) => left - right);
  }

  #nextAvailableAt(priority: number): Milliseconds {
    let latest = Number.NEGATIVE_INFINITY;
    for (const [deniedPriority, at] of this.#unavailableUntil) {
      latest = deniedPriority <= priority ? Math.max(latest, at) : latest;
    }
    return latest;
  }
}
