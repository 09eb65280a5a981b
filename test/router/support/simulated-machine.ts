/** Simulates the clocks and timers of one daemon's machine. Suspensions stop its monotonic clock. */
import { DaemonClock } from '../../../src/clock/daemon-clock.js';
import type { Timers } from '../../../src/router-runtime/timers.js';
import type { VirtualClock } from './virtual-clock.js';

/** Resolution of the boot-time clock of an ordinary machine, in milliseconds. */
const BOOT_CLOCK_RESOLUTION = 10;

/** Returns the reading of a boot-time clock at a virtual time. */
export type BootClock = (now: number) => number;

/** The boot-time clock of an ordinary machine. */
export const ORDINARY_BOOT_CLOCK: BootClock = (now) =>
  Math.floor(now / BOOT_CLOCK_RESOLUTION) * BOOT_CLOCK_RESOLUTION;

export class SimulatedMachine {
  readonly #time: VirtualClock;
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
