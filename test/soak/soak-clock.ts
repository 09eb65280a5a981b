/** Clock that all threads and processes of a soak share, and the time of arrival of what the current thread reads. */

const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const TURN_INTERVAL_MILLISECONDS = 5;

/** Returns the time in milliseconds on the monotonic clock of the machine. */
export function now(): number {
  return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND;
}

/** Resolves after a time in milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)));
}

/** Resolves when everything that the sockets of this thread had received at the time of the call has been read. */
export async function socketsRead(): Promise<void> {
  for (let turn = 0; turn < 2; turn += 1) {
    await new Promise((resolve) => setTimeout(resolve, 0));
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Dates what the event loop reads by the earliest time at which it may have arrived. */
class TurnTimes {
  #last = now();
  #beforeLast = this.#last;
  #timer: NodeJS.Timeout | null = null;

  start(): void {
    this.#timer ??= setInterval(() => {
      this.#beforeLast = this.#last;
      this.#last = now();
    }, TURN_INTERVAL_MILLISECONDS).unref();
  }

  /** What is read now was not there to be read when the loop polled the sockets before this time. */
  get earliestArrival(): number {
    return this.#timer === null ? now() : this.#beforeLast;
  }
}

const turnTimes = new TurnTimes();

/** Starts to record the turns of this thread's event loop. */
export function recordTurns(): void {
  turnTimes.start();
}

/** Returns the earliest time at which an event that is handled now may have arrived. */
export function earliestArrival(): number {
  return turnTimes.earliestArrival;
}
