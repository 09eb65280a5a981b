/**
 * Pause between two watches of a feed. A pause lets one call fetch several changes of a burst. Pauses grow while the burst continues,
 * because every call of every daemon costs the store.
 */
import type { Milliseconds } from '../router/model/identifiers.js';

const MIN_PAUSE: Milliseconds = 150;
/** Well below the time within which a change must take effect. */
const MAX_PAUSE: Milliseconds = 400;
const PAUSE_GROWTH_FACTOR = 1.5;
/** A burst is over when a watch has waited this long for changes. */
const BURST_GAP: Milliseconds = 250;

export class WatchPacing {
  #pause = MIN_PAUSE;

  /**
   * Returns the pause after a watch that waited `waited` milliseconds for changes.
   *
   * @example
   * new WatchPacing().nextPause(5_000); // 150: more changes may follow the one that has just arrived
   */
  nextPause(waited: Milliseconds): Milliseconds {
    const longer = Math.min(MAX_PAUSE, this.#pause * PAUSE_GROWTH_FACTOR);
    this.#pause = waited >= BURST_GAP ? MIN_PAUSE : longer;
    return this.#pause;
  }
}
