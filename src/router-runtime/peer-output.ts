/** Measures how much this daemon has written to other daemons lately. */
import type { Milliseconds } from '../router/model/identifiers.js';

/** Writes count for this long. A burst that the operating system has accepted may take this long to leave on a slow link. */
const RECENT_PERIOD: Milliseconds = 500;

export class RecentOutput {
  readonly #now: () => Milliseconds;
  #writes: { readonly at: Milliseconds; readonly bytes: number }[] = [];

  constructor(now: () => Milliseconds) {
    this.#now = now;
  }

  record(bytes: number): void {
    this.#discardOld();
    this.#writes.push({ at: this.#now(), bytes });
  }

  /** Returns the bytes written within the last {@link RECENT_PERIOD}. */
  get bytes(): number {
    this.#discardOld();
    return this.#writes.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  #discardOld(): void {
    const oldest = this.#now() - RECENT_PERIOD;
    const kept = this.#writes.findIndex(({ at }) => at >= oldest);
    this.#writes.splice(0, kept === -1 ? this.#writes.length : kept);
  }
}
