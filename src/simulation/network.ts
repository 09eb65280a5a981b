/**
 * A network in virtual time with delay, jitter, loss, duplication, reordering, and cuts in one or both
 * directions.
 */
import type { Milliseconds } from '../core/identifiers.js';
import type { SeededRandom } from '../core/random.js';
import type { Scheduler } from './scheduler.js';

/** A process on the network, with the zone that it runs in. */
export interface Endpoint {
  readonly name: string;
  readonly zone: string;
}

const SAME_ZONE_DELAY: Milliseconds = 0.1;

/** Delivers messages between endpoints. */
export class Network {
  lossProbability = 0;
  duplicateProbability = 0;
  jitter: Milliseconds = 1;
  extraDelay: Milliseconds = 0;
  messages = 0;
  readonly #scheduler: Scheduler;
  readonly #random: SeededRandom;
  readonly #zoneDelay: Milliseconds;
  readonly #cuts = new Map<number, (from: Endpoint, to: Endpoint) => boolean>();
  #nextCut = 1;

  constructor(scheduler: Scheduler, random: SeededRandom, zoneDelay: Milliseconds) {
    this.#scheduler = scheduler;
    this.#random = random;
    this.#zoneDelay = zoneDelay;
  }

  /** Blocks messages for which `blocks` returns true. Returns a function that ends the cut. */
  cut(blocks: (from: Endpoint, to: Endpoint) => boolean): () => void {
    const id = this.#nextCut;
    this.#nextCut += 1;
    this.#cuts.set(id, blocks);
    return () => this.#cuts.delete(id);
  }

  /** Returns whether no cut blocks messages from one endpoint to another. */
  isOpen(from: Endpoint, to: Endpoint): boolean {
    for (const blocks of this.#cuts.values()) {
      if (blocks(from, to)) {
        return false;
      }
    }
    return true;
  }

  /** Delivers a message, possibly twice, or calls `lost`. */
  deliver(from: Endpoint, to: Endpoint, arrive: () => void, lost: () => void = () => undefined): void {
    this.messages += 1;
    if (!this.isOpen(from, to) || this.#random.fraction() < this.lossProbability) {
      lost();
      return;
    }
    this.#scheduler.after(this.#delay(from, to), arrive);
    if (this.#random.fraction() < this.duplicateProbability) {
      this.#scheduler.after(this.#delay(from, to), arrive);
    }
  }

  /**
   * Delivers a message at most once, or calls `lost`: for traffic over a connection, which never duplicates
   * data.
   */
  deliverOnce(from: Endpoint, to: Endpoint, arrive: () => void, lost: () => void): void {
    this.messages += 1;
    if (!this.isOpen(from, to) || this.#random.fraction() < this.lossProbability) {
      lost();
      return;
    }
    this.#scheduler.after(this.#delay(from, to), arrive);
  }

  #delay(from: Endpoint, to: Endpoint): Milliseconds {
    const base = from.zone === to.zone ? SAME_ZONE_DELAY : this.#zoneDelay;
    return base + this.extraDelay * this.#random.fraction() + this.jitter * this.#random.fraction();
  }
}
