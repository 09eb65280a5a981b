/**
 * Table of requests under which servers crashed, replicated in full to every daemon. A crash is identified by the server's
 * id, which is unique to one incarnation, so that a crash observed by two daemons counts once, and records may arrive
 * in any order and more than once. The numbers of entries and of servers per entry are bounded.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { fingerprintHead, type RequestFingerprint } from '../model/request-fingerprint.js';
import { CrashEntry } from './crash-entry.js';
import { type CrashedServer, type CrashRecord, emptyCrashRecord } from './crash-record.js';
import { CrashSuspects } from './crash-suspects.js';

/** At about 100 bytes per record, a daemon that joins receives at most 75 KB. The table takes up to 0.4 MB. */
const MAX_SUSPICIONS = 512;
const MAX_QUARANTINES = 256;

function isEntryHeldBack(entry: CrashEntry, confirmation: Milliseconds, now: Milliseconds): boolean {
  return !entry.quarantined && entry.copies.meetThresholdFor(confirmation, now);
}

export class CrashTable {
  /** Entries by the value of the fingerprint, in the order of their last change. */
  readonly #entries = new Map<string, CrashEntry>();
  /** The number of entries for each fingerprint head. */
  readonly #headCounts = new Map<string, number>();
  /** Entries with enough crashes that are not quarantined yet: few enough to be checked at each tick. */
  readonly #candidates = new Set<CrashEntry>();
  readonly #suspects = new CrashSuspects();

  /** Whether the table has no entry, in which case no request's fingerprint has to be computed. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** The number of requests that are suspected and not quarantined. */
  get suspicionCount(): number {
    return [...this.#entries.values()].filter(({ ended, quarantined }) => ended.length > 0 && !quarantined)
      .length;
  }

  /** Returns the records of quarantined requests, the last changed one last. */
  quarantines(now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()]
      .filter(({ quarantined }) => quarantined)
      .map((entry) => entry.toRecord(now));
  }

  /**
   * Returns the records of requests that are held back, the last changed one last.
   *
   * @param confirmation how long ago the last of the needed copies must have been reported lost
   */
  heldBack(confirmation: Milliseconds, now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()]
      .filter((entry) => isEntryHeldBack(entry, confirmation, now))
      .map((entry) => entry.toRecord(now));
  }

  /** Returns all records, for a daemon that has just joined. */
  records(now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()].map((entry) => entry.toRecord(now));
  }

  /** Whether a request is quarantined. Reads the body of the request only when the table has its fingerprint head. */
  isQuarantined(fingerprint: RequestFingerprint): boolean {
    return this.#find(fingerprint)?.quarantined === true;
  }

  /** Whether the request with this fingerprint value is quarantined. */
  isFingerprintQuarantined(fingerprint: string): boolean {
    return this.#entries.get(fingerprint)?.quarantined === true;
  }

  /** Returns the number of servers known to have crashed under a request. */
  crashCount(fingerprint: RequestFingerprint): number {
    return this.#find(fingerprint)?.ended.length ?? 0;
  }

  /**
   * Whether a request is sent one copy at a time, because copies of it were lost and no server has answered it since.
   *
   * @param confirmation how long ago the last of the needed copies must have been reported lost
   */
  isHeldBack(fingerprint: RequestFingerprint, confirmation: Milliseconds, now: Milliseconds): boolean {
    const entry = this.#find(fingerprint);
    return entry !== undefined && isEntryHeldBack(entry, confirmation, now);
  }

  /** Returns whether a request that is held back and was received again is sent now. */
  tryAcquireTrial(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.#find(fingerprint)?.tryAcquireTrial(now) === true;
  }

  /**
   * Merges a record from another daemon, the store or this daemon's own observation. Returns the merged record, or null
   * when nothing changed.
   */
  merge(record: CrashRecord, now: Milliseconds): CrashRecord | null {
    const entry = this.#entries.get(record.fingerprint) ?? this.#create(record.fingerprint, now);
    const exonerated = record.exonerated.filter((server) => this.#exonerate(entry, server));
    const ended = record.ended.filter((crash) => this.#addCrash(entry, crash, now));
    const isNewQuarantine = record.quarantined && this.#quarantine(entry);
    const isNewRetest = record.retested && !entry.retested;
    entry.retested ||= record.retested;
    const isNewlyHeldBack = record.heldBack && entry.copies.confirm();
    const hasNewState = isNewQuarantine || isNewRetest || isNewlyHeldBack;
    if (exonerated.length === 0 && ended.length === 0 && !hasNewState) {
      this.#removeIfEmpty(entry);
      return null;
    }
    this.#recordChange(entry, now);
    return entry.toRecord(now);
  }

  /**
   * Exonerates all servers that crashed under a request, because a server has answered it or an operator lifted its
   * quarantine. Returns the changed record, or null when no crash was counted.
   */
  exonerateRequest(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    const entry = this.#find(fingerprint);
    return entry === undefined || entry.ended.length === 0
      ? null
      : this.merge({ ...entry.toRecord(now), ended: [], exonerated: entry.ended }, now);
  }

  /**
   * Exonerates a server that was reported as crashed when it has answered a request that was sent after this daemon
   * learned of the crash. Returns the changed records.
   */
  exonerateServer(server: ServerId, sentAt: Milliseconds, now: Milliseconds): CrashRecord[] {
    return this.#suspects
      .suspectsLearnedBefore(server, sentAt)
      .map((fingerprint) => this.merge({ ...emptyCrashRecord(fingerprint), exonerated: [server] }, now))
      .filter((record) => record !== null);
  }

  /** Quarantines the requests that have been suspected for the confirmation time. Returns their records. */
  confirmSuspicions(confirmation: Milliseconds, now: Milliseconds): CrashRecord[] {
    return [...this.#candidates]
      .filter((entry) => entry.isSuspicionConfirmed(confirmation, now) && this.#quarantine(entry))
      .map((entry) => entry.toRecord(now));
  }

  /**
   * Returns whether a quarantined request that was received again is sent once more. A request that is repeated this often
   * is most likely a hot one that was in flight by chance when servers crashed.
   */
  tryAcquireRetest(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.#find(fingerprint)?.tryAcquireRetest(now) === true;
  }

  /**
   * Records that a quarantined request was sent once more and the server's side closed the connection again: it is not
   * retested after that. Returns the changed record, or null when there is none.
   */
  recordFailedRetest(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    return this.isQuarantined(fingerprint)
      ? this.merge({ ...emptyCrashRecord(fingerprint.value), retested: true }, now)
      : null;
  }

  /** Removes entries whose retention time is over. Quarantines stay. */
  removeExpired(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      if (entry.isExpired(now)) {
        this.#remove(entry);
      }
    }
  }

  #find(fingerprint: RequestFingerprint): CrashEntry | undefined {
    return this.#entries.size > 0 && this.#headCounts.has(fingerprint.head)
      ? this.#entries.get(fingerprint.value)
      : undefined;
  }

  #create(fingerprint: string, now: Milliseconds): CrashEntry {
    const entry = new CrashEntry(fingerprint, now);
    const head = fingerprintHead(fingerprint);
    this.#entries.set(fingerprint, entry);
    this.#headCounts.set(head, (this.#headCounts.get(head) ?? 0) + 1);
    return entry;
  }

  #addCrash(entry: CrashEntry, crash: CrashedServer, now: Milliseconds): boolean {
    const { isNew, evicted } = entry.addCrash(crash, now);
    if (evicted !== null) {
      this.#suspects.remove(evicted, entry.fingerprint);
    }
    if (isNew) {
      this.#suspects.add(crash.server, entry.fingerprint, now);
      this.#updateCandidacy(entry);
    }
    return isNew;
  }

  #exonerate(entry: CrashEntry, server: ServerId): boolean {
    const isNew = entry.exonerate(server);
    if (isNew) {
      this.#suspects.remove(server, entry.fingerprint);
      this.#updateCandidacy(entry);
    }
    return isNew;
  }

  #updateCandidacy(entry: CrashEntry): void {
    if (entry.isQuarantineCandidate) {
      this.#candidates.add(entry);
    } else {
      this.#candidates.delete(entry);
    }
  }

  /** Quarantines the request if it is a candidate. Returns whether it did. */
  #quarantine(entry: CrashEntry): boolean {
    const isNew = entry.quarantine();
    this.#updateCandidacy(entry);
    return isNew;
  }

  #recordChange(entry: CrashEntry, now: Milliseconds): void {
    entry.recordChange(now);
    this.#entries.delete(entry.fingerprint);
    this.#entries.set(entry.fingerprint, entry);
    if (this.#entries.size > Math.min(MAX_QUARANTINES, MAX_SUSPICIONS)) {
      this.#removeOldest(true, MAX_QUARANTINES);
      this.#removeOldest(false, MAX_SUSPICIONS);
    }
  }

  /** Removes the oldest quarantines, or the oldest suspicions, beyond a limit: a suspicion never displaces a quarantine. */
  #removeOldest(quarantined: boolean, limit: number): void {
    const sameState = [...this.#entries.values()].filter((entry) => entry.quarantined === quarantined);
    sameState.slice(0, Math.max(0, sameState.length - limit)).forEach((entry) => this.#remove(entry));
  }

  #removeIfEmpty(entry: CrashEntry): void {
    if (entry.isEmpty) {
      this.#remove(entry);
    }
  }

  #remove(entry: CrashEntry): void {
    for (const server of entry.ended) {
      entry.removeCrash(server);
      this.#suspects.remove(server, entry.fingerprint);
    }
    this.#candidates.delete(entry);
    this.#entries.delete(entry.fingerprint);
    const head = fingerprintHead(entry.fingerprint);
    const left = (this.#headCounts.get(head) ?? 1) - 1;
    if (left === 0) {
      this.#headCounts.delete(head);
    } else {
      this.#headCounts.set(head, left);
    }
  }
}
