/**
 * A network in virtual time: delay, jitter, loss, duplication, reordering, and cuts in one or both directions.
 */
import type { Milliseconds } from '../core/identifiers.js';
import type { SeededRandom } from '../core/random.js';
import type { Scheduler } from './scheduler.js';

/** A name with the zone it stands in. */
export interface Endpoint {
  readonly name: string;
  readonly zone: string;
}

const LOCAL_DELAY: Milliseconds = 0.1;

/** Carries messages between endpoints by name. */
export class Network {
  lossShare = 0;
  duplicateShare = 0;
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

  /** Cuts every direction for which the test is true. Returns what heals the cut. */
  cut(blocks: (from: Endpoint, to: Endpoint) => boolean): () => void {
    const id = this.#nextCut;
    this.#nextCut += 1;
    this.#cuts.set(id, blocks);
    return () => this.#cuts.delete(id);
  }

  /** Whether a message could go through now. */
  isOpen(from: Endpoint, to: Endpoint): boolean {
    for (const blocks of this.#cuts.values()) {
      if (blocks(from, to)) {
        return false;
      }
    }
    return true;
  }

  /** Delivers a message, perhaps twice, or calls `lost`. */
  deliver(from: Endpoint, to: Endpoint, arrive: () => void, lost: () => void = () => undefined): void {
    this.messages += 1;
    if (!this.isOpen(from, to) || this.#random.fraction() < this.lossShare) {
      lost();
      return;
    }
    this.#scheduler.after(this.#delay(from, to), arrive);
    if (this.#random.fraction() < this.duplicateShare) {
      this.#scheduler.after(this.#delay(from, to), arrive);
    }
  }

  /** Like `deliver`, but never twice: for what runs over one connection. */
  deliverOnce(from: Endpoint, to: Endpoint, arrive: () => void, lost: () => void): void {
    this.messages += 1;
    if (!this.isOpen(from, to) || this.#random.fraction() < this.lossShare) {
      lost();
      return;
    }
    this.#scheduler.after(this.#delay(from, to), arrive);
  }

  #delay(from: Endpoint, to: Endpoint): Milliseconds {
    const base = from.zone === to.zone ? LOCAL_DELAY : this.#zoneDelay;
    return base + this.extraDelay * this.#random.fraction() + this.jitter * this.#random.fraction();
  }
}
