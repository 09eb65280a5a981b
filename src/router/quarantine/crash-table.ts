/**
 * Under which requests servers have ended, as the daemons know it together: a replicated set that each of them holds
 * whole. Ends are named by the server's id, which no other life ever has, so that two daemons that saw the same end count it once, and
 * records may come in any order, and again. Bounded in entries and in servers for each.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { headOf, type RequestFingerprint } from '../model/request-fingerprint.js';
import { CrashEntry } from './crash-entry.js';
import { type CrashedServer, type CrashRecord, emptyRecord } from './crash-record.js';
import { ServerBlames } from './server-blames.js';

/** With about 100 bytes a record, a daemon that joins is sent 75 KB at most, and holds 0.4 MB. */
const MOST_SUSPICIONS = 512;
const MOST_QUARANTINES = 256;

export class CrashTable {
  /** The one that changed last comes last. */
  readonly #entries = new Map<string, CrashEntry>();
  /** How many entries have each head. */
  readonly #heads = new Map<string, number>();
  /** Those with enough ends that are not in quarantine yet: few, so that each tick can look at them. */
  readonly #ripe = new Set<CrashEntry>();
  readonly #blames = new ServerBlames();

  /** Nothing is known of any request: nobody needs a fingerprint. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Requests that are suspected and not in quarantine. */
  get suspicions(): number {
    return [...this.#entries.values()].filter(({ ended, quarantined }) => ended.length > 0 && !quarantined)
      .length;
  }

  /** The requests in quarantine; the newest last. */
  quarantines(now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()]
      .filter(({ quarantined }) => quarantined)
      .map((entry) => entry.record(now));
  }

  /** Everything, for a daemon that knows nothing of it. */
  records(now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()].map((entry) => entry.record(now));
  }

  /** Whether a request is kept from servers. Looks at its body only when its head is known. */
  isQuarantined(fingerprint: RequestFingerprint): boolean {
    return this.#find(fingerprint)?.quarantined === true;
  }

  /** Whether the request with the value of a fingerprint is kept from servers. */
  holdsBack(fingerprint: string): boolean {
    return this.#entries.get(fingerprint)?.quarantined === true;
  }

  /** Servers that have ended under a request, as far as is known. */
  endsUnder(fingerprint: RequestFingerprint): number {
    return this.#find(fingerprint)?.ended.length ?? 0;
  }

  /**
   * Whether a request is sent one at a time only: copies of it were lost, and no server has answered one meanwhile.
   *
   * @param confirmation for how long it must have been so
   */
  isHeldBack(fingerprint: RequestFingerprint, confirmation: Milliseconds, now: Milliseconds): boolean {
    const entry = this.#find(fingerprint);
    return entry !== undefined && !entry.quarantined && entry.copies.areEnough(confirmation, now);
  }

  /** A request that is held back has come again; whether it is sent now. */
  isDueForTrial(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.#find(fingerprint)?.takeTrial(now) === true;
  }

  /** Takes in what another daemon, the store or an observation says. Returns the record as it is now, or null when nothing is new. */
  merge(record: CrashRecord, now: Milliseconds): CrashRecord | null {
    const entry = this.#entries.get(record.fingerprint) ?? this.#create(record.fingerprint, now);
    const exonerated = record.exonerated.filter((server) => this.#exonerate(entry, server));
    const ended = record.ended.filter((end) => this.#addEnd(entry, end, now));
    const isNewQuarantine = record.quarantined && this.#confirm(entry);
    const isNewRetest = record.retested && !entry.retested;
    entry.retested ||= record.retested;
    if (exonerated.length === 0 && ended.length === 0 && !isNewQuarantine && !isNewRetest) {
      this.#dropIfBare(entry);
      return null;
    }
    this.#touch(entry, now);
    return entry.record(now);
  }

  /** A server has answered the request, or an operator lifts its quarantine: the ends that are known don't count. */
  clear(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    const entry = this.#find(fingerprint);
    return entry === undefined || entry.ended.length === 0
      ? null
      : this.merge({ ...entry.record(now), ended: [], exonerated: entry.ended }, now);
  }

  /** A server that was taken to have ended has answered a request that was sent after that was heard: it has not ended. */
  noteAlive(server: ServerId, sentAt: Milliseconds, now: Milliseconds): CrashRecord[] {
    return this.#blames
      .heardBefore(server, sentAt)
      .map((fingerprint) => this.merge({ ...emptyRecord(fingerprint), exonerated: [server] }, now))
      .filter((record) => record !== null);
  }

  /** Puts requests into quarantine that have been suspected for long enough; returns their records. */
  confirmSuspicions(confirmation: Milliseconds, now: Milliseconds): CrashRecord[] {
    return [...this.#ripe]
      .filter((entry) => entry.isSuspectedFor(confirmation, now) && this.#confirm(entry))
      .map((entry) => entry.record(now));
  }

  /**
   * A request in quarantine has come again; whether it is sent once more all the same, since it comes so often that it is most likely a
   * hot one which was there by chance when servers ended.
   */
  isDueForRetest(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.#find(fingerprint)?.takeRetest(now) === true;
  }

  /** A request in quarantine was sent once more, and the server's side ended the connection again: that was the last time. */
  failRetest(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    return this.isQuarantined(fingerprint)
      ? this.merge({ ...emptyRecord(fingerprint.value), retested: true }, now)
      : null;
  }

  /** Forgets what nobody needs any more. Quarantines stay. */
  expire(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      if (entry.isExpired(now)) {
        this.#remove(entry);
      }
    }
  }

  #find(fingerprint: RequestFingerprint): CrashEntry | undefined {
    return this.#entries.size > 0 && this.#heads.has(fingerprint.head)
      ? this.#entries.get(fingerprint.value)
      : undefined;
  }

  #create(fingerprint: string, now: Milliseconds): CrashEntry {
    const entry = new CrashEntry(fingerprint, now);
    const head = headOf(fingerprint);
    this.#entries.set(fingerprint, entry);
    this.#heads.set(head, (this.#heads.get(head) ?? 0) + 1);
    return entry;
  }

  #addEnd(entry: CrashEntry, end: CrashedServer, now: Milliseconds): boolean {
    const { isNew, dropped } = entry.addEnd(end, now);
    if (dropped !== null) {
      this.#blames.forget(dropped, entry.fingerprint);
    }
    if (isNew) {
      this.#blames.add(end.server, entry.fingerprint, now);
      this.#noteRipeness(entry);
    }
    return isNew;
  }

  #exonerate(entry: CrashEntry, server: ServerId): boolean {
    const isNews = entry.exonerate(server);
    if (isNews) {
      this.#blames.forget(server, entry.fingerprint);
      this.#noteRipeness(entry);
    }
    return isNews;
  }

  #noteRipeness(entry: CrashEntry): void {
    if (entry.isRipe) {
      this.#ripe.add(entry);
    } else {
      this.#ripe.delete(entry);
    }
  }

  /** Whether the request is in quarantine from now on and was not before. */
  #confirm(entry: CrashEntry): boolean {
    const isNew = entry.confirm();
    this.#noteRipeness(entry);
    return isNew;
  }

  #touch(entry: CrashEntry, now: Milliseconds): void {
    entry.noteChanged(now);
    this.#entries.delete(entry.fingerprint);
    this.#entries.set(entry.fingerprint, entry);
    if (this.#entries.size > Math.min(MOST_QUARANTINES, MOST_SUSPICIONS)) {
      this.#removeOldest(true, MOST_QUARANTINES);
      this.#removeOldest(false, MOST_SUSPICIONS);
    }
  }

  /** A quarantine never goes for a suspicion. */
  #removeOldest(quarantined: boolean, limit: number): void {
    const alike = [...this.#entries.values()].filter((entry) => entry.quarantined === quarantined);
    alike.slice(0, Math.max(0, alike.length - limit)).forEach((entry) => this.#remove(entry));
  }

  #dropIfBare(entry: CrashEntry): void {
    if (entry.isBare) {
      this.#remove(entry);
    }
  }

  #remove(entry: CrashEntry): void {
    for (const server of entry.ended) {
      entry.dropEnd(server);
      this.#blames.forget(server, entry.fingerprint);
    }
    this.#ripe.delete(entry);
    this.#entries.delete(entry.fingerprint);
    const head = headOf(entry.fingerprint);
    const left = (this.#heads.get(head) ?? 1) - 1;
    if (left === 0) {
      this.#heads.delete(head);
    } else {
      this.#heads.set(head, left);
    }
  }
}
