/**
 * One daemon's permits for one server with a limit: those it has, those it has asked for, and what it was told of the next place. Without whoever
 * grants permits, it sends in turns of an equal share instead.
 */
import type { Milliseconds } from '../model/identifiers.js';
import { Turns } from '../sharing/turns.js';
import { type LimitShare, equalShareInterval } from './limit-share.js';

/** A permit is for now: one that was saved up would be a request too many later. */
const PERMIT_VALIDITY: Milliseconds = 300;
/** An answer takes less than this beyond the time that the ask may wait. */
const ANSWER_PATIENCE: Milliseconds = 250;
/** A request that can wait for less than this doesn't ask: the answer would come too late. */
export const ANSWER_MARGIN: Milliseconds = 25;

/** A request that wants a place. */
export interface PlaceSeeker {
  readonly id: number;
  readonly priority: number;
  /** It waits until then. */
  readonly holdUntil: Milliseconds;
}

/** Whether a request may be sent: now, perhaps once a permit comes, or not in time. */
export type PlaceState = 'free' | 'awaited' | 'none';

export class Permits {
  readonly #turns: Turns;
  /** Until when each permit may be used, the first to end first. */
  #validUntil: Milliseconds[] = [];
  /** When an answer to each request that was asked for is overdue. */
  readonly #asked = new Map<number, Milliseconds>();
  /** For requests of a priority, and less urgent ones, there is no place before this time. */
  readonly #noPlaceBefore = new Map<number, Milliseconds>();

  /** @param phase from 0 to 1: when its turns of an equal share begin */
  constructor(phase: number) {
    this.#turns = new Turns(phase);
  }

  /** What there is for a request. */
  placeFor(seeker: PlaceSeeker, share: LimitShare, now: Milliseconds): PlaceState {
    if (this.count(now) > 0) {
      return 'free';
    }
    if (!share.hasGrants) {
      return this.#turns.allows(equalShareInterval(share), now) ? 'free' : 'none';
    }
    const isInTime = Math.max(now, this.#nextPlaceAt(seeker.priority)) + ANSWER_MARGIN <= seeker.holdUntil;
    return isInTime ? 'awaited' : 'none';
  }

  /** Time until a place is likely. */
  untilPlace(priority: number, share: LimitShare, now: Milliseconds): Milliseconds {
    return share.hasGrants
      ? Math.max(0, this.#nextPlaceAt(priority) - now)
      : this.#turns.untilNext(equalShareInterval(share), now);
  }

  /** Permits that may be used now. */
  count(now: Milliseconds): number {
    while (this.#validUntil.length > 0 && (this.#validUntil[0] as number) < now) {
      this.#validUntil.shift();
    }
    return this.#validUntil.length;
  }

  /** A request is sent. */
  use(now: Milliseconds): void {
    if (this.count(now) > 0) {
      this.#validUntil.shift();
    } else {
      this.#turns.use(now);
    }
  }

  /** A request that took a permit never left. */
  giveBack(now: Milliseconds): void {
    this.#validUntil.push(now + PERMIT_VALIDITY);
  }

  /** Whether a permit has been asked for a request, and no answer has come yet. */
  isAsked(requestId: number): boolean {
    return this.#asked.has(requestId);
  }

  /** A permit is asked for. */
  noteAsked(requestId: number, wait: Milliseconds, now: Milliseconds): void {
    this.#asked.set(requestId, now + wait + ANSWER_PATIENCE);
  }

  noteGranted(requestId: number, now: Milliseconds): void {
    this.#asked.delete(requestId);
    this.#validUntil.push(now + PERMIT_VALIDITY);
  }

  noteDenied(requestId: number, priority: number, nextPlaceIn: Milliseconds, now: Milliseconds): void {
    this.#asked.delete(requestId);
    this.#noPlaceBefore.set(priority, now + nextPlaceIn);
  }

  /** Whether an answer is overdue. Those asked for longest are forgotten then. */
  takeOverdue(now: Milliseconds): boolean {
    let isOverdue = false;
    for (const [requestId, dueAt] of this.#asked) {
      if (dueAt < now) {
        this.#asked.delete(requestId);
        isOverdue = true;
      }
    }
    return isOverdue;
  }

  /** Permits that were granted may be another daemon's by now. */
  clear(): void {
    this.#validUntil = [];
    this.#asked.clear();
    this.#noPlaceBefore.clear();
  }

  #nextPlaceAt(priority: number): Milliseconds {
    let latest = Number.NEGATIVE_INFINITY;
    for (const [denied, at] of this.#noPlaceBefore) {
      latest = denied <= priority ? Math.max(latest, at) : latest;
    }
    return latest;
  }
}
