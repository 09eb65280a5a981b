/** Tells from the heartbeats of a process whether the machine runs it, whatever its event loop does. */

/** File descriptor to which a process writes its heartbeats. */
export const HEARTBEAT_DESCRIPTOR = 3;
/** A process whose heartbeats are further apart than this was stopped, or had no processor. */
const MAX_GAP_MILLISECONDS = 200;

export class Heartbeats {
  #lastAt = Number.NEGATIVE_INFINITY;
  #runsSince = Number.NEGATIVE_INFINITY;
  #lastGapEndedAt = Number.NEGATIVE_INFINITY;
  #longestGap = 0;
  #unparsed = '';

  /** Since when the process has run without a gap, by its last heartbeat. */
  get runsSince(): number {
    return this.#runsSince;
  }

  /** When a process last ran again after the machine had not run it. */
  get lastGapEndedAt(): number {
    return this.#lastGapEndedAt;
  }

  /** Longest time in milliseconds between two heartbeats of one process. */
  get longestGap(): number {
    return this.#longestGap;
  }

  /** Whether the process runs at a time. All heartbeats until then must have been received. */
  isRunningAt(time: number): boolean {
    return time - this.#lastAt <= MAX_GAP_MILLISECONDS;
  }

  /** Begins the heartbeats of a new process. */
  restart(): void {
    this.#lastAt = Number.NEGATIVE_INFINITY;
    this.#unparsed = '';
  }

  /** Receives what a process has written: the time of each heartbeat on a line. */
  receive(text: string): void {
    const lines = (this.#unparsed + text).split('\n');
    this.#unparsed = lines.pop() ?? '';
    lines.forEach((line) => this.#receiveTime(Number(line)));
  }

  #receiveTime(time: number): void {
    const gap = time - this.#lastAt;
    if (gap > MAX_GAP_MILLISECONDS) {
      this.#runsSince = time;
    }
    if (Number.isFinite(gap)) {
      this.#lastGapEndedAt = gap > MAX_GAP_MILLISECONDS ? time : this.#lastGapEndedAt;
      this.#longestGap = Math.max(this.#longestGap, gap);
    }
    this.#lastAt = time;
  }
}
