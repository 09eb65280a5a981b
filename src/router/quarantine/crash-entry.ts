/** What a daemon knows of one request under which servers have ended. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { CrashedServer, CrashRecord } from './crash-record.js';
import { LostCopies } from './lost-copies.js';

/** A request under which this many servers have ended, and which none has answered since, is kept from servers. */
export const CRASHES_FOR_QUARANTINE = 3;
/** A request that is held back is sent once in this time, by the leader: its answer, or the end of a server, is known by then. */
const TRIAL_INTERVAL: Milliseconds = 1_000;
/** Ends that are kept for one request: a few more than are needed, in case some prove to be none. */
const MOST_ENDS = 6;
/** Servers of which it is kept that their ends don't count. */
const MOST_EXONERATED = 12;
/**
 * Servers that end within this time of each other may have one cause of their own, as the loss of a zone: they put no request into quarantine
 * that was merely there.
 */
const LONGEST_BURST: Milliseconds = 500;
/** A quarantine has stood for so long, and refused so many tries at the leader, before the request is sent once more. */
const RETEST_DELAY: Milliseconds = 10_000;
const REFUSALS_BEFORE_RETEST = 20;
/** A caller that comes back more seldom than this is not recognized. */
const SUSPICION_MEMORY: Milliseconds = 600_000;
/** A record without ends that count is kept so long: others that still have such an end are told otherwise. */
const EXONERATION_MEMORY: Milliseconds = 60_000;

/** What an end that was told of changes. */
export interface AddedEnd {
  readonly isNew: boolean;
  /** The end that gave way to it, or null. */
  readonly dropped: ServerId | null;
}

const NOTHING_ADDED: AddedEnd = { isNew: false, dropped: null };

export class CrashEntry {
  readonly fingerprint: string;
  quarantined = false;
  retested = false;
  /** Copies of the request that were lost with each of the servers that ended. */
  readonly copies = new LostCopies();
  /** When the connections to each server that ended broke. */
  readonly #ended = new Map<ServerId, Milliseconds>();
  readonly #exonerated = new Set<ServerId>();
  /** When it was last sent all the same. */
  #trialAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Tries that were refused here since the quarantine began. */
  #refusals = 0;
  /** When this daemon heard of the first end that counts. */
  #suspectedAt: Milliseconds;
  #changedAt: Milliseconds;

  constructor(fingerprint: string, now: Milliseconds) {
    this.fingerprint = fingerprint;
    this.#suspectedAt = now;
    this.#changedAt = now;
  }

  /** Servers that have ended under it, as far as that counts. */
  get ended(): ServerId[] {
    return [...this.#ended.keys()];
  }

  /** It says nothing of any server. */
  get isBare(): boolean {
    return this.#ended.size === 0 && this.#exonerated.size === 0;
  }

  /** Enough servers have ended under it, and it is not in quarantine yet. */
  get isRipe(): boolean {
    return !this.quarantined && this.#ended.size >= CRASHES_FOR_QUARANTINE;
  }

  record(now: Milliseconds): CrashRecord {
    const { fingerprint, quarantined, retested } = this;
    const ended = [...this.#ended].map(([server, at]) => ({
      server,
      age: Math.max(0, Math.round(now - at)),
      copies: this.copies.of(server),
    }));
    return { fingerprint, ended, exonerated: [...this.#exonerated], quarantined, retested };
  }

  /** A server has ended under it. */
  addEnd({ server, age, copies = [] }: CrashedServer, now: Milliseconds): AddedEnd {
    const at = now - age;
    if (this.#ended.has(server)) {
      return { isNew: this.copies.add(server, copies, now), dropped: null };
    }
    if (this.#exonerated.has(server)) {
      return NOTHING_ADDED;
    }
    const newest = this.#ended.size < MOST_ENDS ? null : this.#newestEnd();
    if (newest !== null && at <= (this.#ended.get(newest) ?? 0)) {
      return NOTHING_ADDED;
    }
    if (newest !== null) {
      this.dropEnd(newest);
    }
    this.#suspectedAt = this.#ended.size === 0 ? now : this.#suspectedAt;
    this.#ended.set(server, at);
    this.copies.add(server, copies, now);
    return { isNew: true, dropped: newest };
  }

  /** The newest end gives way to one that is newer still: the span from the first to the last one counts. */
  #newestEnd(): ServerId {
    const [newest] = [...this.#ended].reduce((left, right) => (right[1] > left[1] ? right : left));
    return newest;
  }

  dropEnd(server: ServerId): void {
    this.#ended.delete(server);
    this.copies.forget(server);
  }

  /** A server's end doesn't count. Returns whether that is news. */
  exonerate(server: ServerId): boolean {
    if (this.#exonerated.has(server)) {
      return false;
    }
    this.#exonerated.add(server);
    const [oldest] = this.#exonerated;
    if (this.#exonerated.size > MOST_EXONERATED && oldest !== undefined) {
      this.#exonerated.delete(oldest);
    }
    this.dropEnd(server);
    this.quarantined &&= this.#ended.size >= CRASHES_FOR_QUARANTINE;
    return true;
  }

  /** Whether the request is in quarantine from now on and was not before. */
  confirm(): boolean {
    if (!this.isRipe) {
      return false;
    }
    this.quarantined = true;
    this.#refusals = 0;
    return true;
  }

  /** Whether enough servers have ended for long enough, and not all at once. */
  isSuspectedFor(confirmation: Milliseconds, now: Milliseconds): boolean {
    const times = [...this.#ended.values()];
    const span = Math.max(...times) - Math.min(...times);
    return now - this.#suspectedAt >= confirmation && span >= LONGEST_BURST;
  }

  /** It is held back and has come again; whether it is sent now. */
  takeTrial(now: Milliseconds): boolean {
    if (now - this.#trialAt < TRIAL_INTERVAL) {
      return false;
    }
    this.#trialAt = now;
    return true;
  }

  /** It is in quarantine and has come again; whether it is sent now. */
  takeRetest(now: Milliseconds): boolean {
    if (this.retested || now - this.#changedAt < RETEST_DELAY) {
      return false;
    }
    this.#refusals += 1;
    if (this.#refusals <= REFUSALS_BEFORE_RETEST) {
      return false;
    }
    this.#refusals = 0;
    return true;
  }

  noteChanged(now: Milliseconds): void {
    this.#changedAt = now;
  }

  /** Nobody needs it any more. */
  isExpired(now: Milliseconds): boolean {
    const memory = this.#ended.size > 0 ? SUSPICION_MEMORY : EXONERATION_MEMORY;
    return !this.quarantined && now - this.#changedAt > memory;
  }
}
