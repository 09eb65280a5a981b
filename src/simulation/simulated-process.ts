/**
 * What simulated daemons and servers share: a clock that drifts, and a life that can be paused, ended and
 * begun anew. What reaches a paused process waits, as in its socket buffers, until it goes on.
 */
import type { Milliseconds } from '../core/identifiers.js';
import type { Endpoint } from './network.js';
import type { Scheduler } from './scheduler.js';

/** A process with a clock of its own. */
export abstract class SimulatedProcess {
  readonly endpoint: Endpoint;
  alive = true;
  paused = false;
  /** Counts lives: what was meant for an earlier one is dropped. */
  life = 1;
  protected readonly scheduler: Scheduler;
  #clockRate: number;
  #clockOffset: Milliseconds;
  #waiting: (() => void)[] = [];

  constructor(endpoint: Endpoint, scheduler: Scheduler, clockRate: number, clockOffset: Milliseconds) {
    this.endpoint = endpoint;
    this.scheduler = scheduler;
    this.#clockRate = clockRate;
    this.#clockOffset = clockOffset;
  }

  /** The process's own steady clock. */
  get clock(): Milliseconds {
    return this.scheduler.now * this.#clockRate + this.#clockOffset;
  }

  /** Takes part now: it runs and is not paused. */
  get working(): boolean {
    return this.alive && !this.paused;
  }

  /** Runs an action in the process: now, when it goes on, or never if this life ends first. */
  within(action: () => void): void {
    const { life } = this;
    if (!this.alive) {
      return;
    }
    if (this.paused) {
      this.#waiting.push(() => this.life === life && action());
      return;
    }
    action();
  }

  /** Runs an action after a delay, if this life still lasts. */
  later(delay: Milliseconds, action: () => void): void {
    const { life } = this;
    this.scheduler.after(delay, () => {
      if (this.life === life) {
        this.within(action);
      }
    });
  }

  /** Stops without noticing. */
  pause(): void {
    this.paused = true;
  }

  /** Goes on, first with all that waited. */
  resume(): void {
    this.paused = false;
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const action of waiting) {
      this.within(action);
    }
  }

  /** Ends at once. */
  crash(): void {
    this.alive = false;
    this.paused = false;
    this.life += 1;
    this.#waiting = [];
  }

  /** Begins a new life with nothing kept. */
  restart(): void {
    this.alive = true;
    this.onStart();
  }

  /** Called at the beginning of each life. */
  protected abstract onStart(): void;
}
