/** Virtual time: things happen in the order of their times, by the `tinyqueue` library. */
import TinyQueue from 'tinyqueue';

interface Planned {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

export class VirtualClock {
  now = 0;
  #order = 0;
  readonly #queue = new TinyQueue<Planned>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  );

  /** Plans an action. */
  after(delay: number, action: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.now + delay, order: this.#order, action });
  }

  /** Lets everything happen up to a time. */
  runUntil(end: number): void {
    for (let next = this.#queue.peek(); next !== undefined && next.at <= end; next = this.#queue.peek()) {
      this.#queue.pop();
      this.now = next.at;
      next.action();
    }
    this.now = end;
  }
}
