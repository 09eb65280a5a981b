/**
 * Pause between two watches of a feed. A pause lets one call fetch several changes of a burst. Pauses grow while the burst continues,
 * because every call of every daemon costs the store.
 */
import type { Milliseconds } from '../router/model/identifiers.js';

const FIRST_PAUSE: Milliseconds = 150;
/** Well below the time within which a change must take effect. */
const LONGEST_PAUSE: Milliseconds = 400;
const GROWTH = 1.5;
/** A burst is over when a watch has waited this long for changes. */
const BURST_GAP: Milliseconds = 1_000;

export class WatchPacing {
  #pause = FIRST_PAUSE;

  /**
   * Returns the pause after a watch that waited `waited` milliseconds for changes.
   *
   * @example
   * new WatchPacing().nextPause(5_000); // 150: more changes may follow the one that has just arrived
   */
  next(waited: Milliseconds): Milliseconds {
    const longer = Math.min(LONGEST_PAUSE, this.#pause * GROWTH);
    this.#pause = waited >= BURST_GAP ? FIRST_PAUSE : longer;
    return this.#pause;
  }
}
