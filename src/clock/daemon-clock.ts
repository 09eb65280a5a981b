/**
 * The one clock of a daemon: all times that its decisions compare come from here. The steady clock stands still while
 * a machine is suspended; without that time a leader would renew leases of keys that its successor has moved. The boot-time clock goes
 * on, and the time of day does, which may also be set.
 */

/** Milliseconds on a daemon's clock, or a length of time. */
export type ClockMilliseconds = number;

/** The clocks of a machine, in milliseconds. */
export interface ClockSources {
  /** Never goes back, and stands still while the machine is suspended. */
  steady(): ClockMilliseconds;
  /** Goes on while the machine is suspended; known to 10 ms. Reading it takes a system call. */
  boot(): ClockMilliseconds;
  /** May jump by itself: whoever sets it moves it. */
  timeOfDay(): ClockMilliseconds;
}

/** The machine was suspended, or the time of day was set ahead. */
export interface Suspension {
  readonly length: ClockMilliseconds;
  /** The clock has counted it. Otherwise the time of day jumped, and no other clock tells whether it was set. */
  readonly isCounted: boolean;
}

/** Shorter jumps are the steps in which clocks are known, or slow corrections of the time of day. */
const SHORTEST_SUSPENSION: ClockMilliseconds = 100;
/** The boot-time clock is read this often, to see whether it runs like the steady one, and at each jump of the time of day. */
const BOOT_READ_INTERVAL: ClockMilliseconds = 1_000;
/** Both agree when they differ by less between two readings: three steps of 10 ms. */
const BOOT_TOLERANCE: ClockMilliseconds = 30;
/** Readings in a row that agree before the boot-time clock is believed: under a simulator it may run by another time than all else. */
const BOOT_AGREEMENTS = 3;

export class DaemonClock {
  readonly #sources: ClockSources;
  /** Time of suspensions that the steady clock lacks. */
  #counted: ClockMilliseconds = 0;
  /** The time of day less the steady time, when last looked at. */
  #dayOffset: ClockMilliseconds;
  /** The boot time less the steady time, and the steady time, when last looked at. */
  #bootOffset: ClockMilliseconds;
  #bootReadAt: ClockMilliseconds;
  #agreements = 0;
  #suspension: Suspension | null = null;

  constructor(sources: ClockSources) {
    this.#sources = sources;
    const steady = sources.steady();
    this.#dayOffset = sources.timeOfDay() - steady;
    this.#bootOffset = sources.boot() - steady;
    this.#bootReadAt = steady;
  }

  /** Milliseconds since an arbitrary moment, those of suspensions included as soon as they can be known. */
  now(): ClockMilliseconds {
    const steady = this.#sources.steady();
    const dayOffset = this.#sources.timeOfDay() - steady;
    const jump = dayOffset - this.#dayOffset;
    this.#dayOffset = dayOffset;
    if (jump >= SHORTEST_SUSPENSION) {
      this.#noteJump(steady, jump);
    } else if (steady - this.#bootReadAt >= BOOT_READ_INTERVAL) {
      this.#compareBootClock(steady);
    }
    return steady + this.#counted;
  }

  /** As takeSuspension, without taking it. */
  get suspension(): Suspension | null {
    return this.#suspension;
  }

  /** A suspension that was noticed when the clock was last read, and not yet taken; or null. */
  takeSuspension(): Suspension | null {
    const suspension = this.#suspension;
    this.#suspension = null;
    return suspension;
  }

  /** The time of day went ahead: the boot-time clock tells whether it was set, if that clock can be believed. */
  #noteJump(steady: ClockMilliseconds, jump: ClockMilliseconds): void {
    const isBelieved = this.#agreements >= BOOT_AGREEMENTS;
    const bootJump = this.#readBootClock(steady);
    if (!isBelieved) {
      this.#agreements = 0;
      this.#suspension = { length: jump, isCounted: false };
    } else if (bootJump >= SHORTEST_SUSPENSION - BOOT_TOLERANCE) {
      this.#counted += bootJump;
      this.#suspension = { length: bootJump, isCounted: true };
    }
  }

  #compareBootClock(steady: ClockMilliseconds): void {
    const difference = Math.abs(this.#readBootClock(steady));
    this.#agreements = difference < BOOT_TOLERANCE ? this.#agreements + 1 : 0;
  }

  /** By how much the boot-time clock went ahead of the steady one since it was last read. */
  #readBootClock(steady: ClockMilliseconds): ClockMilliseconds {
    const offset = this.#sources.boot() - steady;
    const jump = offset - this.#bootOffset;
    this.#bootOffset = offset;
    this.#bootReadAt = steady;
    return jump;
  }
}
