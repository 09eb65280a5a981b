/**
 * How long a feed waits between two watches. Changes that come in a burst are fetched by one call, and a burst
 * that goes on is looked at less often: each daemon pays for each of its calls.
 */
import type { Milliseconds } from '../router/model/identifiers.js';

const FIRST_PAUSE: Milliseconds = 150;
/** Well below the time in which a change must be in force. */
const LONGEST_PAUSE: Milliseconds = 400;
const GROWTH = 1.5;
/** A watch that waited this long for news has ended the burst. */
const BURST_GAP: Milliseconds = 1_000;

export class WatchPacing {
  #pause = FIRST_PAUSE;

  /**
   * The pause after a watch that waited some time for news.
   *
   * @example
   * new WatchPacing().next(5_000); // 150: the news that has just come may have company
   */
  next(waited: Milliseconds): Milliseconds {
    const longer = Math.min(LONGEST_PAUSE, this.#pause * GROWTH);
    this.#pause = waited >= BURST_GAP ? FIRST_PAUSE : longer;
    return this.#pause;
  }
}
