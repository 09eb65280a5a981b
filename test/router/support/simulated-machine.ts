/**
 * Simulates the clocks, timers and processor time of one daemon's machine. Suspensions stop its monotonic clock. Work takes no time unless
 * its processor time is stated.
 */
import { DaemonClock } from '../../../src/clock/daemon-clock.js';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { Timers } from '../../../src/router-runtime/timers.js';
import type { VirtualClock } from './virtual-clock.js';

/** Resolution of the boot-time clock of an ordinary machine, in milliseconds. */
const BOOT_CLOCK_RESOLUTION = 10;

/** Returns the reading of a boot-time clock at a virtual time. */
export type BootClock = (now: number) => number;

/** The boot-time clock of an ordinary machine. */
export const ORDINARY_BOOT_CLOCK: BootClock = (now) =>
  Math.floor(now / BOOT_CLOCK_RESOLUTION) * BOOT_CLOCK_RESOLUTION;

/** Returns the processor time in milliseconds of handling an event and performing its effects. */
export type ProcessorTime = (event: RouterEvent, effects: readonly Effect[]) => number;

export class SimulatedMachine {
  /** Processor time of the work of the daemon on this machine. */
  processorTime: ProcessorTime = () => 0;
  readonly #time: VirtualClock;
  #busyUntil = 0;
  #loopInterval = 0;
  #loopPhase = 0;
  readonly #suspensions: { readonly from: number; readonly until: number }[] = [];

  constructor(time: VirtualClock) {
    this.#time = time;
  }

  /** Makes the process handle events only once in an interval in milliseconds, at a phase of it; 0: at once. */
  slowDown(interval: number, phase = 0): void {
    this.#loopInterval = interval;
    this.#loopPhase = phase;
  }

  /** Whether the process handles events only at intervals. */
  get isSlow(): boolean {
    return this.#loopInterval > 0;
  }

  /** Returns the time in milliseconds until the process handles events. */
  timeUntilTurn(): number {
    const { now } = this.#time;
    const turn = Math.ceil((now - this.#loopPhase) / this.#loopInterval) * this.#loopInterval;
    return this.isSlow ? turn + this.#loopPhase - now : 0;
  }

  /** Spends the processor time of an event and its effects. The process handles no further event meanwhile. */
  spendProcessorTime(event: RouterEvent, effects: readonly Effect[]): void {
    this.#busyUntil = Math.max(this.#busyUntil, this.#time.now) + this.processorTime(event, effects);
  }

  /** Returns the time in milliseconds until the process has done the work that it has begun. */
  timeUntilIdle(): number {
    return Math.max(0, this.#busyUntil - this.#time.now);
  }

  /** Suspends the machine from now until the given virtual time. */
  suspend(until: number): void {
    this.#suspensions.push({ from: this.#time.now, until });
  }

  /** Creates the clock of a process that starts now. */
  createClock(bootClock: BootClock): DaemonClock {
    return new DaemonClock({
      steady: () => this.#steady(),
      boot: () => bootClock(this.#time.now),
      timeOfDay: () => this.#time.now,
    });
  }

  /** Creates timers that run on the monotonic clock: a suspension delays them. */
  createTimers(clock: () => DaemonClock): Timers {
    return {
      now: () => clock().now(),
      after: (delay, action) => {
        let cancelled = false;
        const dueAt = this.#steady() + delay;
        const check = (): void => {
          if (!cancelled && this.#steady() >= dueAt) {
            action();
          } else if (!cancelled) {
            this.#time.schedule(dueAt - this.#steady(), check);
          }
        };
        this.#time.schedule(delay, check);
        return () => {
          cancelled = true;
        };
      },
    };
  }

  #steady(): number {
    const { now } = this.#time;
    const suspended = this.#suspensions.map(({ from, until }) => Math.min(now, until) - from);
    return now - suspended.reduce((sum, length) => sum + length, 0);
  }
}
