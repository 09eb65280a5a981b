/** Slots and waiting places of a fake server that works on a limited number of requests at a time, in the order of their arrival. */

/** Waiting places for each slot: the deployments' servers have 2 slots and 8 waiting places. */
const WAITING_PLACES_PER_SLOT = 4;

/** Starts the work on a request. `done` frees its slot. */
type Work = (done: () => void) => void;

export class SlotQueue {
  readonly #slots: number;
  #running = 0;
  readonly #waiting: Work[] = [];

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** The value of the header in which a server reports its load. */
  get report(): string {
    return `${this.#running},${this.#waiting.length},${this.#slots}`;
  }

  /** Starts work as soon as a slot is free. Returns false if every waiting place is taken. */
  add(work: Work): boolean {
    if (this.#waiting.length >= this.#slots * WAITING_PLACES_PER_SLOT) {
      return false;
    }
    this.#waiting.push(work);
    this.#startNext();
    return true;
  }

  #startNext(): void {
    const work = this.#running < this.#slots ? this.#waiting.shift() : undefined;
    if (work === undefined) {
      return;
    }
    this.#running += 1;
    work(() => {
      this.#running -= 1;
      this.#startNext();
    });
  }
}
