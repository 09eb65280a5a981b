/**
 * Lets a decision wait until everything has been read that sockets had received before. A turn of the event loop runs timers, then polls the
 * sockets, then runs immediates: a whole poll lies between two immediates. The end of a connection is read a poll later than the bytes
 * before it, so a daemon that is behind would otherwise act on a request without knowing that its caller has left. A poll accepts one
 * connection of each listening socket: while some were accepted, further polls come before the work, or the others would wait a whole turn each.
 */
import type { Server } from 'node:net';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { Milliseconds } from '../router/model/identifiers.js';

/** What was read this long ago still counts as the present state of a connection. */
const LONGEST_STALENESS: Milliseconds = 200;

/** Polls that accept connections keep actions waiting for this long at most. */
const LONGEST_ACCEPTING: Milliseconds = 50;

type Action = () => void;

export class PollBarrier {
  readonly #now: () => Milliseconds;
  /** Added since the last immediate: the poll under way may have passed their sockets already. */
  #added: Action[] = [];
  /** Those for which the poll under way is a whole one. */
  #polling: Action[] = [];
  #pollStartedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** All that was received before this time has been read. */
  #readUntil: Milliseconds = Number.NEGATIVE_INFINITY;
  #isScheduled = false;
  #isOnTime: () => boolean = () => false;
  /** The poll under way has accepted a connection. */
  #hasAccepted = false;
  /** When the polls began that have accepted connections without work between them. */
  #acceptingSince: Milliseconds | null = null;

  constructor(now: () => Milliseconds = () => performance.now()) {
    this.#now = now;
  }

  /** Lets actions wait while a server accepts connections. */
  watch(server: Server): void {
    server.on('connection', () => {
      this.#hasAccepted = true;
    });
  }

  /** The machine was suspended: nothing that was read before is fresh, whether or not the clock has counted that time. */
  noteSuspension(): void {
    this.#readUntil = Number.NEGATIVE_INFINITY;
  }

  /** Runs an action after the next whole poll. */
  afterPoll(action: Action): void {
    this.#added.push(action);
    this.#schedule();
  }

  /** @param isOnTime whether the loop is known to have polled the sockets a short time ago */
  watchLoop(isOnTime: () => boolean): void {
    this.#isOnTime = isOnTime;
  }

  /** Runs an action as soon as the sockets were polled a short time ago: at once if they were. */
  whenFresh(action: Action): void {
    if (this.#isOnTime() || this.#now() - this.#readUntil <= LONGEST_STALENESS) {
      action();
    } else {
      this.afterPoll(() => this.whenFresh(action));
    }
  }

  #schedule(): void {
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => this.#endPoll());
    }
  }

  #endPoll(): void {
    this.#isScheduled = false;
    const due = this.#polling;
    this.#readUntil = this.#pollStartedAt;
    this.#polling = this.#added;
    this.#added = [];
    if (this.#mayAcceptMore()) {
      this.#polling.unshift(...due);
    } else {
      due.forEach((action) => action());
    }
    this.#pollStartedAt = this.#now();
    if (this.#polling.length > 0) {
      this.#schedule();
    } else {
      this.#acceptingSince = null;
    }
  }

  /** Whether connections are likely to wait that should be accepted before any work. */
  #mayAcceptMore(): boolean {
    const now = this.#now();
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    this.#acceptingSince = hasAccepted ? (this.#acceptingSince ?? now) : null;
    if (this.#acceptingSince !== null && now - this.#acceptingSince >= LONGEST_ACCEPTING) {
      this.#acceptingSince = null;
      return false;
    }
    return hasAccepted;
  }
}

/** That of this process's loop. */
export const PROCESS_BARRIER = new PollBarrier(() => PROCESS_CLOCK.now());
