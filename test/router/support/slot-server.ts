/** A simulated balanced server with slots and a queue, in virtual time. It reports its load with each response. */
import type { ReportedLoad } from '../../../src/router/request/server-load.js';
import type { VirtualClock } from './virtual-clock.js';

/** How a request at a server ended. */
export interface ServerResult {
  /** Whether the server was full, or rejected the request by fault. */
  readonly rejection: 'full' | 'fault' | null;
  readonly load: ReportedLoad;
}

interface Job {
  readonly work: number;
  readonly done: (result: ServerResult) => void;
}

export class SlotServer {
  /** Time of the work as a multiple of the usual time. */
  slowness = 1;
  /** Share of the requests that the server rejects although it has room. */
  faultShare = 0;
  readonly #clock: VirtualClock;
  readonly #slots: number;
  readonly #places: number;
  readonly #queue: Job[] = [];
  #running = 0;
  #faults = 0;

  /** @param places number of requests that may wait for a slot */
  constructor(clock: VirtualClock, slots: number, places: number) {
    this.#clock = clock;
    this.#slots = slots;
    this.#places = places;
  }

  /** Number of requests at the server. */
  get load(): number {
    return this.#running + this.#queue.length;
  }

  receive(work: number, done: (result: ServerResult) => void): void {
    this.#faults += this.faultShare;
    if (this.#faults >= 1) {
      this.#faults -= 1;
      done({ rejection: 'fault', load: this.#report() });
    } else if (this.load >= this.#slots + this.#places) {
      done({ rejection: 'full', load: this.#report() });
    } else {
      this.#queue.push({ work, done });
      this.#startNext();
    }
  }

  #startNext(): void {
    const job = this.#running < this.#slots ? this.#queue.shift() : undefined;
    if (job === undefined) {
      return;
    }
    this.#running += 1;
    this.#clock.schedule(job.work * this.slowness, () => {
      this.#running -= 1;
      this.#startNext();
      job.done({ rejection: null, load: this.#report() });
    });
  }

  #report(): ReportedLoad {
    return { running: this.#running, waiting: this.#queue.length, slots: this.#slots, slowdown: null };
  }
}
