/**
 * Base class of simulated daemons and servers: a process with a drifting clock that can be paused, crashed
 * and restarted. Messages that reach a paused process are deferred until it resumes, as they would be in its
 * socket buffers.
 */
import type { Milliseconds } from '../core/identifiers.js';
import type { Endpoint } from './network.js';
import type { Scheduler } from './scheduler.js';

/** A process with its own clock. */
export abstract class SimulatedProcess {
  readonly endpoint: Endpoint;
  alive = true;
  paused = false;
  /** Incarnation number: messages and timers for an earlier incarnation are dropped. */
  life = 1;
  protected readonly scheduler: Scheduler;
  #clockRate: number;
  #clockOffset: Milliseconds;
  #deferred: (() => void)[] = [];

  constructor(endpoint: Endpoint, scheduler: Scheduler, clockRate: number, clockOffset: Milliseconds) {
    this.endpoint = endpoint;
    this.scheduler = scheduler;
    this.#clockRate = clockRate;
    this.#clockOffset = clockOffset;
  }

  /** The reading of the process's own monotonic clock. */
  get clock(): Milliseconds {
    return this.scheduler.now * this.#clockRate + this.#clockOffset;
  }

  /** Whether the process is alive and not paused. */
  get working(): boolean {
    return this.alive && !this.paused;
  }

  /** Runs an action in the process: at once, on resume if it is paused, or never if it crashes first. */
  runWhenActive(action: () => void): void {
    const { life } = this;
    if (!this.alive) {
      return;
    }
    if (this.paused) {
      this.#deferred.push(() => this.life === life && action());
      return;
    }
    action();
  }

  /** Runs an action after a delay, unless the process crashes first. */
  runAfter(delay: Milliseconds, action: () => void): void {
    const { life } = this;
    this.scheduler.after(delay, () => {
      if (this.life === life) {
        this.runWhenActive(action);
      }
    });
  }

  /** Pauses the process, which itself cannot notice the pause. */
  pause(): void {
    this.paused = true;
  }

  /** Resumes the process and runs the deferred actions first. */
  resume(): void {
    this.paused = false;
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const action of deferred) {
      this.runWhenActive(action);
    }
  }

  /** Ends the process at once and drops the deferred actions. */
  crash(): void {
    this.alive = false;
    this.paused = false;
    this.life += 1;
    this.#deferred = [];
  }

  /** Starts a new incarnation that keeps no state. */
  restart(): void {
    this.alive = true;
    this.onStart();
  }

  /** Called when the process is restarted, to reset its state. */
  protected abstract onStart(): void;
}
