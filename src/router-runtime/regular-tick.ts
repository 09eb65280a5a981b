/** The regular tick by which a daemon learns that time has passed. */
import type { LoopMonitor } from './loop-monitor.js';

/** Milliseconds between two ticks. */
export const TICK_INTERVAL_MILLISECONDS = 20;

export class RegularTick {
  readonly #monitor: LoopMonitor;
  readonly #action: () => void;
  #timer: NodeJS.Timeout | undefined;

  /** @param action is run at each tick */
  constructor(monitor: LoopMonitor, action: () => void) {
    this.#monitor = monitor;
    this.#action = action;
  }

  /** Begins with a tick at once. */
  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MILLISECONDS);
    this.#tick();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    this.#monitor.noteTick(performance.now());
    this.#action();
  }
}
