/** Virtual time: runs scheduled actions in the order of their times, with the `tinyqueue` library as priority queue. */
import TinyQueue from 'tinyqueue';

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

export class VirtualClock {
  now = 0;
  #order = 0;
  readonly #queue = new TinyQueue<ScheduledAction>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );

  /** Schedules an action after a delay in milliseconds. */
  schedule(delay: number, action: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.now + delay, order: this.#order, action });
  }

  /** Runs all actions that are due up to the given time. */
  runUntil(end: number): void {
    for (let next = this.#queue.peek(); next !== undefined && next.at <= end; next = this.#queue.peek()) {
      this.#queue.pop();
      this.now = next.at;
      next.action();
    }
    this.now = end;
  }
}
