/**
 * Under which requests servers have ended, as the daemons know it together: a replicated set that each of them holds
 * whole. Ends are named by the server's id, which no other life ever has, so that two daemons that saw the same end count it once, and
 * records may come in any order, and again. Bounded in entries and in servers for each.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { headOf, type RequestFingerprint } from '../model/request-fingerprint.js';

/** A request under which this many servers have ended, and which none has answered since, is kept from servers. */
export const CRASHES_FOR_QUARANTINE = 3;
/** Ends that are kept for one request: a few more than are needed, in case some prove to be none. */
const MOST_ENDS = 6;
/** Servers of which it is kept that their ends don't count. */
const MOST_EXONERATED = 12;
/** With about 100 bytes a record, a daemon that joins is sent 75 KB at most, and holds 0.4 MB. */
const MOST_SUSPICIONS = 512;
const MOST_QUARANTINES = 256;
/** A caller that comes back more seldom than this is not recognized. */
const SUSPICION_MEMORY: Milliseconds = 600_000;
/** A record without ends that count is kept so long: others that still have such an end are told otherwise. */
const EXONERATION_MEMORY: Milliseconds = 60_000;

/** What daemons tell each other of one request. */
export interface CrashRecord {
  /** The value of the request's fingerprint. */
  readonly fingerprint: string;
  /** Servers that ended while they had the request. */
  readonly ended: ServerId[];
  /** Servers whose ends don't count: they answered afterwards, or the request was answered elsewhere. */
  readonly exonerated: ServerId[];
  /** The request is kept from servers. */
  readonly quarantined: boolean;
}

/** Requests that are blamed for the end of one server. */
interface Blame {
  readonly fingerprints: Set<string>;
  /** When this daemon first heard of the end. */
  readonly heardAt: Milliseconds;
}

interface Entry {
  readonly fingerprint: string;
  readonly ended: Set<ServerId>;
  readonly exonerated: Set<ServerId>;
  quarantined: boolean;
  /** When this daemon heard of the first end that counts. */
  suspectedAt: Milliseconds;
  changedAt: Milliseconds;
}

function recordOf({ fingerprint, ended, exonerated, quarantined }: Entry): CrashRecord {
  return { fingerprint, ended: [...ended], exonerated: [...exonerated], quarantined };
}

export class CrashTable {
  /** The one that changed last comes last. */
  readonly #entries = new Map<string, Entry>();
  /** How many entries have each head. */
  readonly #heads = new Map<string, number>();
  /** For each server that ended, as far as that counts. */
  readonly #byServer = new Map<ServerId, Blame>();

  /** Nothing is known of any request: nobody needs a fingerprint. */
  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Requests that are suspected and not in quarantine. */
  get suspicions(): number {
    return [...this.#entries.values()].filter(({ ended, quarantined }) => ended.size > 0 && !quarantined)
      .length;
  }

  /** The requests in quarantine; the newest last. */
  quarantines(): CrashRecord[] {
    return [...this.#entries.values()].filter(({ quarantined }) => quarantined).map(recordOf);
  }

  /** Everything, for a daemon that knows nothing of it. */
  records(): CrashRecord[] {
    return [...this.#entries.values()].map(recordOf);
  }

  /** Whether a request is kept from servers. Looks at its body only when its head is known. */
  isQuarantined(fingerprint: RequestFingerprint): boolean {
    return this.#find(fingerprint)?.quarantined === true;
  }

  /** Takes in what another daemon, the store or an observation says. Returns the record as it is now, or null when nothing is new. */
  merge(record: CrashRecord, now: Milliseconds): CrashRecord | null {
    const entry = this.#entries.get(record.fingerprint) ?? this.#create(record.fingerprint, now);
    const exonerated = record.exonerated.filter((server) => this.#exonerate(entry, server));
    const ended = record.ended.filter((server) => this.#addEnd(entry, server, now));
    const isNewQuarantine = record.quarantined && this.#confirm(entry);
    if (exonerated.length === 0 && ended.length === 0 && !isNewQuarantine) {
      this.#dropIfBare(entry);
      return null;
    }
    this.#touch(entry, now);
    return recordOf(entry);
  }

  /** A server has answered the request, or an operator lifts its quarantine: the ends that are known don't count. */
  clear(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    const entry = this.#find(fingerprint);
    return entry === undefined || entry.ended.size === 0
      ? null
      : this.merge({ ...recordOf(entry), ended: [], exonerated: [...entry.ended] }, now);
  }

  /** A server that was taken to have ended has answered a request that was sent after that was heard: it has not ended. */
  noteAlive(server: ServerId, sentAt: Milliseconds, now: Milliseconds): CrashRecord[] {
    const blame = this.#byServer.get(server);
    if (blame === undefined || sentAt <= blame.heardAt) {
      return [];
    }
    return [...blame.fingerprints]
      .map((fingerprint) =>
        this.merge({ fingerprint, ended: [], exonerated: [server], quarantined: false }, now),
      )
      .filter((record) => record !== null);
  }

  /** Puts requests into quarantine that have been suspected for long enough; returns their records. */
  confirmSuspicions(confirmation: Milliseconds, now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()]
      .filter((entry) => now - entry.suspectedAt >= confirmation && this.#confirm(entry))
      .map(recordOf);
  }

  /** Forgets what nobody needs any more. Quarantines stay. */
  expire(now: Milliseconds): void {
    for (const entry of this.#entries.values()) {
      const memory = entry.ended.size > 0 ? SUSPICION_MEMORY : EXONERATION_MEMORY;
      if (!entry.quarantined && now - entry.changedAt > memory) {
        this.#remove(entry);
      }
    }
  }

  #find(fingerprint: RequestFingerprint): Entry | undefined {
    return this.#entries.size > 0 && this.#heads.has(fingerprint.head)
      ? this.#entries.get(fingerprint.value)
      : undefined;
  }

  #create(fingerprint: string, now: Milliseconds): Entry {
    const sets = { ended: new Set<ServerId>(), exonerated: new Set<ServerId>() };
    const entry = { fingerprint, ...sets, quarantined: false, suspectedAt: now, changedAt: now };
    const head = headOf(fingerprint);
    this.#entries.set(fingerprint, entry);
    this.#heads.set(head, (this.#heads.get(head) ?? 0) + 1);
    return entry;
  }

  #addEnd(entry: Entry, server: ServerId, now: Milliseconds): boolean {
    if (entry.exonerated.has(server) || entry.ended.has(server) || entry.ended.size >= MOST_ENDS) {
      return false;
    }
    entry.suspectedAt = entry.ended.size === 0 ? now : entry.suspectedAt;
    entry.ended.add(server);
    const blame = this.#byServer.get(server) ?? { fingerprints: new Set(), heardAt: now };
    blame.fingerprints.add(entry.fingerprint);
    this.#byServer.set(server, blame);
    return true;
  }

  #exonerate(entry: Entry, server: ServerId): boolean {
    if (entry.exonerated.has(server)) {
      return false;
    }
    entry.exonerated.add(server);
    const [oldest] = entry.exonerated;
    if (entry.exonerated.size > MOST_EXONERATED && oldest !== undefined) {
      entry.exonerated.delete(oldest);
    }
    this.#dropEnd(entry, server);
    entry.quarantined &&= entry.ended.size >= CRASHES_FOR_QUARANTINE;
    return true;
  }

  #dropEnd(entry: Entry, server: ServerId): void {
    entry.ended.delete(server);
    const blame = this.#byServer.get(server);
    blame?.fingerprints.delete(entry.fingerprint);
    if (blame?.fingerprints.size === 0) {
      this.#byServer.delete(server);
    }
  }

  /** Whether the request is in quarantine from now on and was not before. */
  #confirm(entry: Entry): boolean {
    if (entry.quarantined || entry.ended.size < CRASHES_FOR_QUARANTINE) {
      return false;
    }
    entry.quarantined = true;
    return true;
  }

  #touch(entry: Entry, now: Milliseconds): void {
    entry.changedAt = now;
    this.#entries.delete(entry.fingerprint);
    this.#entries.set(entry.fingerprint, entry);
    this.#removeOldest(true, MOST_QUARANTINES);
    this.#removeOldest(false, MOST_SUSPICIONS);
  }

  /** A quarantine never goes for a suspicion. */
  #removeOldest(quarantined: boolean, limit: number): void {
    const alike = [...this.#entries.values()].filter((entry) => entry.quarantined === quarantined);
    alike.slice(0, Math.max(0, alike.length - limit)).forEach((entry) => this.#remove(entry));
  }

  #dropIfBare(entry: Entry): void {
    if (entry.ended.size === 0 && entry.exonerated.size === 0) {
      this.#remove(entry);
    }
  }

  #remove(entry: Entry): void {
    [...entry.ended].forEach((server) => this.#dropEnd(entry, server));
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
