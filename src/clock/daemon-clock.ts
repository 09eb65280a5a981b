/**
 * The clock of a daemon: all times that its decisions compare come from here. The machine's monotonic (steady) clock stops while the machine
 * is suspended. A leader that missed the time of a suspension would renew leases on keys that its successor has moved. The boot-time clock and
 * the time of day continue during a suspension, but the time of day may also be set.
 */

/** A time on a daemon's clock, or a duration, in milliseconds. */
export type ClockMilliseconds = number;

/** The clocks of a machine, in milliseconds. */
export interface ClockSources {
  /** Reads the monotonic clock, which stops while the machine is suspended. */
  steady(): ClockMilliseconds;
  /** Reads the boot-time clock, which continues while the machine is suspended. It has steps of 10 ms, and reading it takes a system call. */
  boot(): ClockMilliseconds;
  /** Reads the time of day, which may jump when it is set. */
  timeOfDay(): ClockMilliseconds;
}

/** A suspension of the machine, or a forward step of the time of day that cannot be distinguished from one. */
export interface Suspension {
  readonly length: ClockMilliseconds;
  /** The daemon's clock includes this time. Otherwise the time of day jumped, and no other clock shows whether it was set. */
  readonly isCounted: boolean;
}

/** Shorter jumps come from the resolution of the clocks, or from gradual corrections of the time of day. */
const MIN_SUSPENSION: ClockMilliseconds = 100;
/** The boot-time clock is read at this interval, to check that it runs at the rate of the steady clock, and at each jump of the time of day. */
const BOOT_READ_INTERVAL: ClockMilliseconds = 1_000;
/** The boot-time and steady clocks agree if they differ by less than this between two readings: three steps of 10 ms. */
const BOOT_TOLERANCE: ClockMilliseconds = 30;
/** Consecutive agreeing readings after which the boot-time clock is trusted: under a simulator it may run at another rate than all other clocks. */
const BOOT_AGREEMENTS = 3;

export class DaemonClock {
  readonly #sources: ClockSources;
  /** Total length of the suspensions, which the steady clock doesn't include. */
  #suspendedTime: ClockMilliseconds = 0;
  /** Time of day minus steady time, at the last reading. */
  #dayOffset: ClockMilliseconds;
  /** Boot time minus steady time, at the last reading of the boot-time clock. */
  #bootOffset: ClockMilliseconds;
  /** Steady time at the last reading of the boot-time clock. */
  #bootReadAt: ClockMilliseconds;
  #bootAgreements = 0;
  #suspension: Suspension | null = null;

  constructor(sources: ClockSources) {
    this.#sources = sources;
    const steady = sources.steady();
    this.#dayOffset = sources.timeOfDay() - steady;
    this.#bootOffset = sources.boot() - steady;
    this.#bootReadAt = steady;
  }

  /** Returns the milliseconds since an arbitrary origin, including suspensions as soon as they are detected. */
  now(): ClockMilliseconds {
    const steady = this.#sources.steady();
    const dayOffset = this.#sources.timeOfDay() - steady;
    const jump = dayOffset - this.#dayOffset;
    this.#dayOffset = dayOffset;
    if (jump >= MIN_SUSPENSION) {
      this.#handleTimeOfDayJump(steady, jump);
    } else if (steady - this.#bootReadAt >= BOOT_READ_INTERVAL) {
      this.#checkBootClock(steady);
    }
    return steady + this.#suspendedTime;
  }

  /** Returns the suspension that takeSuspension would return, without clearing it. */
  get suspension(): Suspension | null {
    return this.#suspension;
  }

  /** Returns and clears the last suspension that reading the clock has detected, or returns null. */
  takeSuspension(): Suspension | null {
    const suspension = this.#suspension;
    this.#suspension = null;
    return suspension;
  }

  /** Handles a forward jump of the time of day. The boot-time clock, if trusted, shows whether it was a suspension or the time was set. */
  #handleTimeOfDayJump(steady: ClockMilliseconds, jump: ClockMilliseconds): void {
    const isBootClockTrusted = this.#bootAgreements >= BOOT_AGREEMENTS;
    const bootJump = this.#readBootClock(steady);
    if (!isBootClockTrusted) {
      this.#bootAgreements = 0;
      this.#suspension = { length: jump, isCounted: false };
    } else if (bootJump >= MIN_SUSPENSION - BOOT_TOLERANCE) {
      this.#suspendedTime += bootJump;
      this.#suspension = { length: bootJump, isCounted: true };
    }
  }

  #checkBootClock(steady: ClockMilliseconds): void {
    const difference = Math.abs(this.#readBootClock(steady));
    this.#bootAgreements = difference < BOOT_TOLERANCE ? this.#bootAgreements + 1 : 0;
  }

  /** Returns by how much the boot-time clock has gained on the steady clock since its last reading. */
  #readBootClock(steady: ClockMilliseconds): ClockMilliseconds {
    const offset = this.#sources.boot() - steady;
    const jump = offset - this.#bootOffset;
    this.#bootOffset = offset;
    this.#bootReadAt = steady;
    return jump;
  }
}
