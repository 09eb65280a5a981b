/**
 * Checks that no process ends by itself, and that no request which a daemon has read is left without an answer unless a fault that the soak planted
 * explains it. An end that nobody ordered explains none.
 */
import type { DaemonProcess, ProcessEnd } from './daemon-process.js';
import type { CallerOutcome, PromiseChecker } from './promise-checker.js';
import { now } from './soak-clock.js';

/** A daemon answers what it reads from this long after a planted fault. */
const UNDISTURBED_MILLISECONDS = 3_000;
/** Time from the end of a process until the soak knows of it. */
const NOTICED_MILLISECONDS = 1_000;
/** A process of this age has sent its first heartbeats. */
const FIRST_HEARTBEAT_MILLISECONDS = 1_000;
/** Time after an end for which the report counts requests. */
const COUNTED_MILLISECONDS = 2_000;
const SUCCESS = 200;

/** What the checks must know of a daemon. */
export interface CheckedDaemon extends Pick<
  DaemonProcess,
  'name' | 'stopping' | 'isPaused' | 'isRunning' | 'isScheduled' | 'lastFaultAt' | 'lastPlantedFaultAt'
> {
  readonly heartbeats: Pick<DaemonProcess['heartbeats'], 'lastGapEndedAt'>;
}

export class AnswerChecks {
  readonly #promises: PromiseChecker;
  readonly #daemons: readonly CheckedDaemon[];
  readonly #ends: ProcessEnd[] = [];
  /** Requests without an answer that no planted fault explains. */
  readonly #unexplained: CallerOutcome[] = [];

  constructor(promises: PromiseChecker, daemons: readonly CheckedDaemon[]) {
    this.#promises = promises;
    this.#daemons = daemons;
    promises.outcomeChecks.push((outcome) => this.#receive(outcome));
  }

  /** Records the end of a process that nobody ordered. */
  recordEnd(end: ProcessEnd): void {
    this.#ends.push(end);
    const { daemon, at, status, lastLine } = end;
    this.#promises.fail(
      'no process ends by itself',
      `${daemon} at ${Math.round(at)} with ${status}: ${lastLine}`,
    );
  }

  #receive(outcome: CallerOutcome): void {
    const { sentAt } = outcome;
    const daemon = this.#daemons.find(({ name }) => name === outcome.daemon);
    if (!isWithoutAnswer(outcome) || daemon === undefined) {
      return;
    }
    if (!daemon.stopping && !daemon.isPaused && isUndisturbed(daemon, sentAt)) {
      this.#unexplained.push(outcome);
    }
  }

  /** Checks the requests when none is in flight any more. */
  finish(): void {
    for (const outcome of this.#unexplained) {
      const { attemptId, path, daemon, ending, sentAt, endedAt } = outcome;
      if (!this.#wasRead(outcome)) {
        continue;
      }
      const end = this.#endDuring(outcome);
      const cause = end === undefined ? 'its process went on' : 'its process ended by itself';
      const times = `${Math.round(endedAt - sentAt)} ms after ${Math.round(sentAt)}`;
      const detail = `${attemptId} ${path} at ${daemon}: ${ending} ${times}, ${this.#promises.runsOf(attemptId)} runs; ${cause}`;
      this.#promises.fail('no request without an answer', detail);
    }
  }

  /** A connection that was reset may have held a request that nobody read. */
  #wasRead({ attemptId, ending }: CallerOutcome): boolean {
    return ending !== 'reset' || this.#promises.runsOf(attemptId) > 0;
  }

  /** Returns the end of the process that a request was sent to, unless the request had ended before. */
  #endDuring({ daemon, sentAt, endedAt }: CallerOutcome): ProcessEnd | undefined {
    return this.#ends.find(
      (end) => end.daemon === daemon && end.at >= sentAt && end.at <= endedAt + NOTICED_MILLISECONDS,
    );
  }

  /** What callers saw of the ends of processes, for the report; empty without ends. */
  get summary(): string {
    if (this.#ends.length === 0) {
      return '';
    }
    const daemons = this.#daemons.map(({ name }) => ({ name, ends: this.#countEnds(name) }));
    const byDaemon = daemons.filter(({ ends }) => ends > 0).map(({ name, ends }) => `${name} ${ends}`);
    const inProgress = this.#promises.outcomes.filter(
      (outcome) => isWithoutAnswer(outcome) && this.#endDuring(outcome) !== undefined,
    );
    const lost = inProgress.filter((outcome) => this.#wasRead(outcome)).length;
    const perEnd = (lost / this.#ends.length).toFixed(1);
    const own = this.#tallyAfterEnds((outcome, end) => outcome.daemon === end.daemon);
    const keyed = this.#tallyAfterEnds(
      (outcome, end) => outcome.daemon !== end.daemon && outcome.path === '/keyed/',
    );
    return [
      `${this.#ends.length} ends (${byDaemon.join(', ')})`,
      `${lost} requests read and lost, ${perEnd} per end, ${inProgress.length - lost} more reset`,
      `within 2 s after: at the daemon ${own}; keyed requests at others ${keyed}`,
    ].join('; ');
  }

  #countEnds(daemon: string): number {
    return this.#ends.filter((end) => end.daemon === daemon).length;
  }

  #tallyAfterEnds(isCounted: (outcome: CallerOutcome, end: ProcessEnd) => boolean): string {
    const counted = this.#promises.outcomes.filter((outcome) =>
      this.#ends.some(
        (end) =>
          outcome.sentAt >= end.at &&
          outcome.sentAt < end.at + COUNTED_MILLISECONDS &&
          isCounted(outcome, end),
      ),
    );
    const answered = counted.filter(({ status }) => status === SUCCESS).length;
    const refused = counted.filter(({ ending }) => ending === 'refused').length;
    const unavailable = counted.filter(({ status }) => status === 503).length;
    return `${answered} of ${counted.length} answered with 200, ${unavailable} with 503, ${refused} not connected`;
  }
}

/** Whether a request was sent to a daemon that gave no whole answer. */
function isWithoutAnswer({ ending }: CallerOutcome): boolean {
  return ending !== 'answered' && ending !== 'refused';
}

/** Whether the machine has run the daemon's process, and no fault was planted, for some time before a request was sent. */
function isUndisturbed(daemon: CheckedDaemon, sentAt: number): boolean {
  const { lastPlantedFaultAt, lastFaultAt, heartbeats, isRunning, isScheduled } = daemon;
  const isYoung = !isRunning || now() - lastFaultAt < FIRST_HEARTBEAT_MILLISECONDS;
  const disturbedAt = Math.max(lastPlantedFaultAt, heartbeats.lastGapEndedAt);
  return (isScheduled || isYoung) && disturbedAt + UNDISTURBED_MILLISECONDS <= sentAt;
}
