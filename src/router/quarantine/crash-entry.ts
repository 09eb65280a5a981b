/** The crash record of one request, as this daemon knows it. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { CrashedServer, CrashRecord } from './crash-record.js';
import { LostCopies } from './lost-copies.js';

/** A request under which this many servers have crashed, and that no server has answered since, is quarantined. */
export const CRASHES_FOR_QUARANTINE = 3;
/**
 * A request that is held back is sent once per interval, by the leader. The answer to it, or the crash of a server, is
 * known before the next one is sent.
 */
const TRIAL_INTERVAL: Milliseconds = 1_000;
/** Crashes kept for one request: more than a quarantine needs, because some may turn out not to be crashes. */
const MAX_CRASHES_PER_REQUEST = 6;
/** Exonerated servers kept for one request. */
const MAX_EXONERATED_SERVERS = 12;
/**
 * Servers that crash within this time of each other may share another cause, such as the loss of a zone. They alone
 * don't quarantine a request that was merely in flight on all of them.
 */
const CORRELATED_CRASH_WINDOW: Milliseconds = 500;
/**
 * The leader sends a quarantined request once more when its record has been unchanged for RETEST_DELAY and the leader has
 * then refused more than REFUSALS_BEFORE_RETEST copies of it.
 */
const RETEST_DELAY: Milliseconds = 10_000;
const REFUSALS_BEFORE_RETEST = 20;
/** How long a suspicion is kept. A request that is repeated at longer intervals is not recognized as suspected. */
const SUSPICION_RETENTION: Milliseconds = 600_000;
/**
 * How long a record without counted crashes is kept: meanwhile its exonerations correct daemons that still count one of
 * the crashes.
 */
const EXONERATION_RETENTION: Milliseconds = 60_000;

/** What adding a crash to an entry changed. */
export interface CrashAddition {
  readonly isNew: boolean;
  /** The server whose crash was evicted to make room, or null. */
  readonly evicted: ServerId | null;
}

const NO_CHANGE: CrashAddition = { isNew: false, evicted: null };

export class CrashEntry {
  readonly fingerprint: string;
  quarantined = false;
  retested = false;
  /** Copies of the request that were lost with each crashed server. */
  readonly copies = new LostCopies();
  /** When the connections to each crashed server broke. */
  readonly #crashTimes = new Map<ServerId, Milliseconds>();
  readonly #exonerated = new Set<ServerId>();
  /** When the request was last sent although it was held back. */
  #lastTrialAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Requests refused by this daemon towards the next retest. */
  #refusals = 0;
  /** When this daemon learned of the first crash that counts. */
  #suspectedAt: Milliseconds;
  #lastChangedAt: Milliseconds;

  constructor(fingerprint: string, now: Milliseconds) {
    this.fingerprint = fingerprint;
    this.#suspectedAt = now;
    this.#lastChangedAt = now;
  }

  /** Servers that crashed under the request and are not exonerated. */
  get ended(): ServerId[] {
    return [...this.#crashTimes.keys()];
  }

  /** Whether the entry names no server, neither crashed nor exonerated. */
  get isEmpty(): boolean {
    return this.#crashTimes.size === 0 && this.#exonerated.size === 0;
  }

  /** Whether enough servers have crashed under the request and it is not quarantined yet. */
  get isQuarantineCandidate(): boolean {
    return !this.quarantined && this.#crashTimes.size >= CRASHES_FOR_QUARANTINE;
  }

  toRecord(now: Milliseconds): CrashRecord {
    const { fingerprint, quarantined, retested } = this;
    const ended = [...this.#crashTimes].map(([server, at]) => ({
      server,
      age: Math.max(0, Math.round(now - at)),
      copies: this.copies.of(server),
    }));
    const heldBack = this.copies.isConfirmed;
    return { fingerprint, ended, exonerated: [...this.#exonerated], quarantined, retested, heldBack };
  }

  /** Adds the crash of a server under the request. */
  addCrash({ server, age, copies = [] }: CrashedServer, now: Milliseconds): CrashAddition {
    const at = now - age;
    if (this.#crashTimes.has(server)) {
      return { isNew: this.copies.add(server, copies, now), evicted: null };
    }
    if (this.#exonerated.has(server)) {
      return NO_CHANGE;
    }
    const newest = this.#crashTimes.size < MAX_CRASHES_PER_REQUEST ? null : this.#latestCrashedServer();
    if (newest !== null && at <= (this.#crashTimes.get(newest) ?? 0)) {
      return NO_CHANGE;
    }
    if (newest !== null) {
      this.removeCrash(newest);
    }
    this.#suspectedAt = this.#crashTimes.size === 0 ? now : this.#suspectedAt;
    this.#crashTimes.set(server, at);
    this.copies.add(server, copies, now);
    return { isNew: true, evicted: newest };
  }

  /**
   * Returns the server that crashed last. In a full entry only a later crash replaces it, so that the span from the first
   * to the last crash is kept.
   */
  #latestCrashedServer(): ServerId {
    const [newest] = [...this.#crashTimes].reduce((left, right) => (right[1] > left[1] ? right : left));
    return newest;
  }

  removeCrash(server: ServerId): void {
    this.#crashTimes.delete(server);
    this.copies.removeServer(server);
  }

  /** Records that a server's crash doesn't count. Returns whether the server was not exonerated before. */
  exonerate(server: ServerId): boolean {
    if (this.#exonerated.has(server)) {
      return false;
    }
    this.#exonerated.add(server);
    const [oldest] = this.#exonerated;
    if (this.#exonerated.size > MAX_EXONERATED_SERVERS && oldest !== undefined) {
      this.#exonerated.delete(oldest);
    }
    this.removeCrash(server);
    this.quarantined &&= this.#crashTimes.size >= CRASHES_FOR_QUARANTINE;
    return true;
  }

  /** Quarantines the request if it is a candidate. Returns whether it did. */
  quarantine(): boolean {
    if (!this.isQuarantineCandidate) {
      return false;
    }
    this.quarantined = true;
    this.#refusals = 0;
    return true;
  }

  /** Whether the request has been suspected for the confirmation time, of crashes that didn't all happen at once. */
  isSuspicionConfirmed(confirmation: Milliseconds, now: Milliseconds): boolean {
    const times = [...this.#crashTimes.values()];
    const span = Math.max(...times) - Math.min(...times);
    return now - this.#suspectedAt >= confirmation && span >= CORRELATED_CRASH_WINDOW;
  }

  /**
   * Returns whether a request that is held back and was received again is sent now. If as many servers have crashed under it as a
   * quarantine needs, though all at once, it is sent no sooner than a quarantined one.
   */
  tryAcquireTrial(now: Milliseconds): boolean {
    if (this.isQuarantineCandidate) {
      return this.tryAcquireRetest(now);
    }
    if (now - this.#lastTrialAt < TRIAL_INTERVAL) {
      return false;
    }
    this.#lastTrialAt = now;
    return true;
  }

  /** Returns whether a quarantined request that was received again is sent now. */
  tryAcquireRetest(now: Milliseconds): boolean {
    if (this.retested || now - this.#lastChangedAt < RETEST_DELAY) {
      return false;
    }
    this.#refusals += 1;
    if (this.#refusals <= REFUSALS_BEFORE_RETEST) {
      return false;
    }
    this.#refusals = 0;
    return true;
  }

  recordChange(now: Milliseconds): void {
    this.#lastChangedAt = now;
  }

  /** Whether the entry has been unchanged for longer than its retention time. Quarantines don't expire. */
  isExpired(now: Milliseconds): boolean {
    const retention = this.#crashTimes.size > 0 ? SUSPICION_RETENTION : EXONERATION_RETENTION;
    return !this.quarantined && now - this.#lastChangedAt > retention;
  }
}
