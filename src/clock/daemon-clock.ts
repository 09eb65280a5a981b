/** The one clock of a daemon: all times that its decisions compare come from here. */

/** Milliseconds on a daemon's clock, or a length of time. */
export type ClockMilliseconds = number;

/** The clocks of a machine, in milliseconds. */
export interface ClockSources {
  /** Never goes back, and stands still while the machine is suspended. */
  steady(): ClockMilliseconds;
  /** Goes on while the machine is suspended; known to 10 ms. */
  boot(): ClockMilliseconds;
  /** May jump by itself: whoever sets it moves it. */
  timeOfDay(): ClockMilliseconds;
}

/** The machine was suspended. */
export interface Suspension {
  readonly length: ClockMilliseconds;
  /** The clock has counted it. Otherwise the time of day jumped, and no other clock tells whether it was set. */
  readonly isCounted: boolean;
}

export class DaemonClock {
  readonly #sources: ClockSources;

  constructor(sources: ClockSources) {
    this.#sources = sources;
  }

  /** Milliseconds since an arbitrary moment. */
  now(): ClockMilliseconds {
    return this.#sources.steady();
  }

  /** A suspension that was noticed and not yet taken, or null. */
  takeSuspension(): Suspension | null {
    return null;
  }
}
