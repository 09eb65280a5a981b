/**
 * Virtual time: runs scheduled actions in order of their time, and in order of scheduling where times are
 * equal.
 */
import TinyQueue from 'tinyqueue';
import type { Milliseconds } from '../core/identifiers.js';

interface ScheduledAction {
  readonly at: Milliseconds;
  readonly order: number;
  readonly run: () => void;
}

/** A queue of actions that advances virtual time as they run. */
export class Scheduler {
  /** The current virtual time. */
  now: Milliseconds = 0;
  #order = 0;
  #executed = 0;
  readonly #queue = new TinyQueue<ScheduledAction>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );

  /** Number of actions that have run. */
  get executed(): number {
    return this.#executed;
  }

  /** Schedules an action to run after a delay. */
  after(delay: Milliseconds, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.now + Math.max(0, delay), order: this.#order, run });
  }

  /** Runs all actions that are due up to a time. */
  runUntil(end: Milliseconds): void {
    for (let next = this.#queue.peek(); next !== undefined && next.at <= end; next = this.#queue.peek()) {
      this.#queue.pop();
      this.now = next.at;
      this.#executed += 1;
      next.run();
    }
    this.now = end;
  }
}
