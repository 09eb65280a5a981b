/**
 * Measures how far the daemon's event loop is behind, by how late its regular tick runs, and how much time the loop spends on each kind of
 * event. Data that a socket receives while the loop is busy waits unread in the socket.
 */
import type { RouterEvent } from '../router/events.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/** A loop whose tick is late by no more than this counts as on time. */
const MAX_ON_TIME_DELAY: Milliseconds = 10;
/** Ticks after a suspension until the sockets have surely been polled: the first tick may run before that poll. */
const TICKS_AFTER_SUSPENSION = 2;
/** A tick that is this late begins a period in which the loop is reported as behind. */
const BEHIND_THRESHOLD: Milliseconds = 100;
/** The period ends when no tick has been this late for {@link CAUGHT_UP_DURATION}. */
const CAUGHT_UP_THRESHOLD: Milliseconds = 50;
const CAUGHT_UP_DURATION: Milliseconds = 1_000;
/** Delays of ticks are kept for this long. */
const DELAY_RETENTION: Milliseconds = 5_000;
/** The number of event kinds that are reported at the end of the period. */
const MAX_REPORTED_EVENT_KINDS = 4;

export type EventKind = RouterEvent['kind'];

/** A period in which the loop was behind. */
export interface LoopLagPeriod {
  /** The largest delay of a tick. */
  readonly longest: Milliseconds;
  readonly lasted: Milliseconds;
  /** Handling time of the event kinds that took most of it, in milliseconds. */
  readonly busiest: Readonly<Partial<Record<EventKind, Milliseconds>>>;
}

export interface LoopMonitorListener {
  /** Receives the delay of each tick. */
  onTick(delay: Milliseconds): void;
  /** The loop has fallen behind. */
  onFellBehind(delay: Milliseconds): void;
  /** The loop is on time again. */
  onCaughtUp(period: LoopLagPeriod): void;
}

export class LoopMonitor {
  /** Total handling time of each kind of event since the start, in milliseconds. */
  readonly eventHandlingTimes = new Map<EventKind, Milliseconds>();
  readonly #interval: Milliseconds;
  readonly #listener: LoopMonitorListener;
  #lastTickAt: Milliseconds | null = null;
  #delay: Milliseconds = 0;
  /** Length of the last suspension of the machine. The sockets may not have been polled since. */
  #suspensionLength: Milliseconds = 0;
  #ticksUntilPolled = 0;
  #behindSince: Milliseconds | null = null;
  #lastLateAt: Milliseconds = 0;
  #longestDelay: Milliseconds = 0;
  /** Ticks that were not on time, oldest first. */
  #lateTicks: { readonly at: Milliseconds; readonly delay: Milliseconds }[] = [];
  #handlingTimesAtStart: ReadonlyMap<EventKind, Milliseconds> = new Map();

  /** @param interval milliseconds between two ticks */
  constructor(interval: Milliseconds, listener: LoopMonitorListener) {
    this.#interval = interval;
    this.#listener = listener;
  }

  /** Records that the regular tick runs. */
  recordTick(now: Milliseconds): void {
    this.#delay = this.#lastTickAt === null ? 0 : Math.max(0, now - this.#lastTickAt - this.#interval);
    this.#lastTickAt = now;
    this.#ticksUntilPolled = Math.max(0, this.#ticksUntilPolled - 1);
    this.#listener.onTick(this.#delay);
    this.#keepDelay(now);
    if (this.#delay >= BEHIND_THRESHOLD) {
      this.#recordLateTick(now);
    }
    if (this.#delay >= CAUGHT_UP_THRESHOLD) {
      this.#lastLateAt = now;
    } else if (this.#behindSince !== null && now - this.#lastLateAt >= CAUGHT_UP_DURATION) {
      this.#endPeriod(this.#behindSince);
    }
  }

  /** Records a suspension of the machine: data received during it is unread, whether or not the clock has counted that time. */
  recordSuspension(length: Milliseconds): void {
    this.#suspensionLength = length;
    this.#ticksUntilPolled = TICKS_AFTER_SUSPENSION;
  }

  /** Records that an event was handled. */
  recordEvent(kind: EventKind, duration: Milliseconds): void {
    this.eventHandlingTimes.set(kind, (this.eventHandlingTimes.get(kind) ?? 0) + duration);
  }

  /** Returns how long data that is read now may have waited unread, at most. The result is accurate to one tick interval. */
  maxUnreadTime(now: Milliseconds): Milliseconds {
    const sinceTick = this.#lastTickAt === null ? 0 : Math.max(0, now - this.#lastTickAt - this.#interval);
    const delay = this.#delay + sinceTick;
    return this.#ticksUntilPolled > 0 ? Math.max(delay, this.#suspensionLength) : delay;
  }

  /** Returns whether the loop has polled its sockets within about the last two tick intervals. */
  isOnTime(now: Milliseconds): boolean {
    return this.maxUnreadTime(now) <= MAX_ON_TIME_DELAY;
  }

  /** Returns the largest delay of the loop since a time, which may lie up to {@link DELAY_RETENTION} in the past. */
  longestDelaySince(since: Milliseconds, now: Milliseconds): Milliseconds {
    const delays = this.#lateTicks.filter(({ at }) => at >= since).map(({ delay }) => delay);
    return Math.max(this.maxUnreadTime(now), ...delays);
  }

  #keepDelay(now: Milliseconds): void {
    if (this.#delay > MAX_ON_TIME_DELAY) {
      this.#lateTicks = this.#lateTicks.filter(({ at }) => now - at <= DELAY_RETENTION);
      this.#lateTicks.push({ at: now, delay: this.#delay });
    }
  }

  #recordLateTick(now: Milliseconds): void {
    this.#longestDelay = Math.max(this.#longestDelay, this.#delay);
    if (this.#behindSince === null) {
      this.#behindSince = now - this.#delay;
      this.#handlingTimesAtStart = new Map(this.eventHandlingTimes);
      this.#listener.onFellBehind(this.#delay);
    }
  }

  #endPeriod(since: Milliseconds): void {
    this.#listener.onCaughtUp({
      longest: this.#longestDelay,
      lasted: this.#lastLateAt - since,
      busiest: this.#busiestEventsSince(this.#handlingTimesAtStart),
    });
    this.#behindSince = null;
    this.#longestDelay = 0;
  }

  #busiestEventsSince(handlingTimesAtStart: ReadonlyMap<EventKind, Milliseconds>): LoopLagPeriod['busiest'] {
    const increases = [...this.eventHandlingTimes].map(
      ([kind, time]) => [kind, Math.round(time - (handlingTimesAtStart.get(kind) ?? 0))] as const,
    );
    increases.sort(([, left], [, right]) => right - left);
    return Object.fromEntries(increases.slice(0, MAX_REPORTED_EVENT_KINDS));
  }
}
