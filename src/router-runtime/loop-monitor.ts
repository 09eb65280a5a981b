/**
 * How far the daemon's event loop is behind, seen by how late its regular tick is, and which events its time goes into. What a socket
 * receives while the loop is busy waits there unread.
 */
import type { RouterEvent } from '../router/events.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/** Delays up to this are those of a loop that is on time. */
const USUAL_DELAY: Milliseconds = 10;
/** Ticks after a suspension until the sockets have been polled: the first may come before that. */
const TICKS_AFTER_SUSPENSION = 2;
/** A tick that is this late begins a spell in which the daemon counts as behind. */
const BEHIND: Milliseconds = 100;
/** The spell ends when no tick has been this late for {@link CALM}. */
const ON_TIME: Milliseconds = 50;
const CALM: Milliseconds = 1_000;
/** Kinds of events that are named at the end of a spell. */
const MOST_NAMED = 4;

export type EventKind = RouterEvent['kind'];

/** A spell in which the loop was behind. */
export interface LoopSpell {
  /** The latest tick was late by this much. */
  readonly longest: Milliseconds;
  readonly lasted: Milliseconds;
  /** The kinds of events that took most time, in milliseconds. */
  readonly busiest: Readonly<Partial<Record<EventKind, Milliseconds>>>;
}

export interface LoopMonitorListener {
  /** Of each tick. */
  delayed(delay: Milliseconds): void;
  /** A spell begins. */
  fellBehind(delay: Milliseconds): void;
  /** It has ended. */
  caughtUp(spell: LoopSpell): void;
}

export class LoopMonitor {
  /** Time that events of each kind have taken since the start, in milliseconds. */
  readonly eventTimes = new Map<EventKind, Milliseconds>();
  readonly #interval: Milliseconds;
  readonly #listener: LoopMonitorListener;
  #tickedAt: Milliseconds | null = null;
  #delay: Milliseconds = 0;
  /** The machine was suspended for this long, and the sockets may not have been polled since. */
  #suspended: Milliseconds = 0;
  #ticksUntilPolled = 0;
  #behindSince: Milliseconds | null = null;
  #lastLateAt: Milliseconds = 0;
  #longest: Milliseconds = 0;
  #timesBefore: ReadonlyMap<EventKind, Milliseconds> = new Map();

  /** @param interval between two ticks */
  constructor(interval: Milliseconds, listener: LoopMonitorListener) {
    this.#interval = interval;
    this.#listener = listener;
  }

  /** The regular tick begins. */
  noteTick(now: Milliseconds): void {
    this.#delay = this.#tickedAt === null ? 0 : Math.max(0, now - this.#tickedAt - this.#interval);
    this.#tickedAt = now;
    this.#ticksUntilPolled = Math.max(0, this.#ticksUntilPolled - 1);
    this.#listener.delayed(this.#delay);
    if (this.#delay >= BEHIND) {
      this.#noteLate(now);
    }
    if (this.#delay >= ON_TIME) {
      this.#lastLateAt = now;
    } else if (this.#behindSince !== null && now - this.#lastLateAt >= CALM) {
      this.#endSpell(this.#behindSince);
    }
  }

  /** The machine was suspended: what came meanwhile lies unread, whether or not the clock has counted that time. */
  noteSuspension(length: Milliseconds): void {
    this.#suspended = length;
    this.#ticksUntilPolled = TICKS_AFTER_SUSPENSION;
  }

  /** An event was handled. */
  noteEvent(kind: EventKind, duration: Milliseconds): void {
    this.eventTimes.set(kind, (this.eventTimes.get(kind) ?? 0) + duration);
  }

  /** The longest that anything read now can have waited unread, known to one interval. */
  unreadFor(now: Milliseconds): Milliseconds {
    const sinceTick = this.#tickedAt === null ? 0 : Math.max(0, now - this.#tickedAt - this.#interval);
    const delay = this.#delay + sinceTick;
    return this.#ticksUntilPolled > 0 ? Math.max(delay, this.#suspended) : delay;
  }

  /** Whether the loop has polled its sockets within the last two intervals or so. */
  isOnTime(now: Milliseconds): boolean {
    return this.unreadFor(now) <= USUAL_DELAY;
  }

  #noteLate(now: Milliseconds): void {
    this.#longest = Math.max(this.#longest, this.#delay);
    if (this.#behindSince === null) {
      this.#behindSince = now - this.#delay;
      this.#timesBefore = new Map(this.eventTimes);
      this.#listener.fellBehind(this.#delay);
    }
  }

  #endSpell(since: Milliseconds): void {
    this.#listener.caughtUp({
      longest: this.#longest,
      lasted: this.#lastLateAt - since,
      busiest: this.#busiestSince(this.#timesBefore),
    });
    this.#behindSince = null;
    this.#longest = 0;
  }

  #busiestSince(before: ReadonlyMap<EventKind, Milliseconds>): LoopSpell['busiest'] {
    const grown = [...this.eventTimes].map(
      ([kind, time]) => [kind, Math.round(time - (before.get(kind) ?? 0))] as const,
    );
    grown.sort(([, left], [, right]) => right - left);
    return Object.fromEntries(grown.slice(0, MOST_NAMED));
  }
}
