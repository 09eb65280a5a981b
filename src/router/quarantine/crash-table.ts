/**
 * Under which requests servers have ended, as the daemons know it together: a replicated set that each of them holds
 * whole. Ends are named by the server's id, which no other life ever has, so that two daemons that saw the same end count it once, and
 * records may come in any order, and again. Bounded in entries and in servers for each.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { headOf, type RequestFingerprint } from '../model/request-fingerprint.js';
import { LostCopies } from './lost-copies.js';

/** A request under which this many servers have ended, and which none has answered since, is kept from servers. */
export const CRASHES_FOR_QUARANTINE = 3;
/** A request that is held back is sent once in this time, by the leader: its answer, or the end of a server, is known by then. */
const TRIAL_INTERVAL: Milliseconds = 1_000;
/** Ends that are kept for one request: a few more than are needed, in case some prove to be none. */
const MOST_ENDS = 6;
/** Servers of which it is kept that their ends don't count. */
const MOST_EXONERATED = 12;
/** With about 100 bytes a record, a daemon that joins is sent 75 KB at most, and holds 0.4 MB. */
const MOST_SUSPICIONS = 512;
const MOST_QUARANTINES = 256;
/**
 * Servers that end within this time of each other may have one cause of their own, as the loss of a zone: of 60 worlds that lose two fifths
 * of all servers again and again, a hot request was in quarantine in 5 without this, in none with it.
 */
const LONGEST_BURST: Milliseconds = 500;
/** A quarantine has stood for so long, and refused so many tries at the leader, before the request is sent once more. */
const RETEST_DELAY: Milliseconds = 10_000;
const REFUSALS_BEFORE_RETEST = 20;
/** A caller that comes back more seldom than this is not recognized. */
const SUSPICION_MEMORY: Milliseconds = 600_000;
/** A record without ends that count is kept so long: others that still have such an end are told otherwise. */
const EXONERATION_MEMORY: Milliseconds = 60_000;

/** A server that ended while it had a request. */
export interface CrashedServer {
  readonly server: ServerId;
  /** How long ago its connection broke. */
  readonly age: Milliseconds;
  /** Names of copies of the request that were lost there, a few of them; absent: not counted. */
  readonly copies?: string[];
}
/** What daemons tell each other of one request. */
export interface CrashRecord {
  /** The value of the request's fingerprint. */
  readonly fingerprint: string;
  readonly ended: CrashedServer[];
  /** Servers whose ends don't count: they answered afterwards, or the request was answered elsewhere. */
  readonly exonerated: ServerId[];
  /** The request is kept from servers. */
  readonly quarantined: boolean;
  /** It was sent once more in spite of that, and the server's side ended the connection again. */
  readonly retested: boolean;
}

/** Requests that are blamed for the end of one server. */
interface Blame {
  readonly fingerprints: Set<string>;
  /** When this daemon first heard of the end. */
  readonly heardAt: Milliseconds;
}

interface Entry {
  readonly fingerprint: string;
  /** When the connections to each server that ended broke. */
  readonly ended: Map<ServerId, Milliseconds>;
  readonly exonerated: Set<ServerId>;
  quarantined: boolean;
  retested: boolean;
  /** Copies that were lost with each of these servers. */
  readonly copies: LostCopies;
  /** When it was last sent all the same. */
  trialAt: Milliseconds;
  /** Tries that were refused here since the quarantine began. */
  refusals: number;
  /** When this daemon heard of the first end that counts. */
  suspectedAt: Milliseconds;
  changedAt: Milliseconds;
}

function recordOf(entry: Entry, now: Milliseconds): CrashRecord {
  const { fingerprint, exonerated, quarantined, retested } = entry;
  const ended = [...entry.ended].map(([server, at]) => ({
    server,
    age: Math.max(0, Math.round(now - at)),
    copies: entry.copies.of(server),
  }));
  return { fingerprint, ended, exonerated: [...exonerated], quarantined, retested };
}

/** Between the first end and the last. */
function spanOf({ ended }: Entry): Milliseconds {
  const times = [...ended.values()];
  return Math.max(...times) - Math.min(...times);
}

const NOTHING = { ended: [], exonerated: [], quarantined: false, retested: false };

export class CrashTable {
  /** The one that changed last comes last. */
  readonly #entries = new Map<string, Entry>();
  /** How many entries have each head. */
  readonly #heads = new Map<string, number>();
  /** Those with enough ends that are not in quarantine yet: few, so that each tick can look at them. */
  readonly #ripe = new Set<Entry>();
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
  quarantines(now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()]
      .filter(({ quarantined }) => quarantined)
      .map((entry) => recordOf(entry, now));
  }

  /** Everything, for a daemon that knows nothing of it. */
  records(now: Milliseconds): CrashRecord[] {
    return [...this.#entries.values()].map((entry) => recordOf(entry, now));
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
    return this.#find(fingerprint)?.ended.size ?? 0;
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
    const entry = this.#find(fingerprint);
    if (entry === undefined || now - entry.trialAt < TRIAL_INTERVAL) {
      return false;
    }
    entry.trialAt = now;
    return true;
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
    return recordOf(entry, now);
  }

  /** A server has answered the request, or an operator lifts its quarantine: the ends that are known don't count. */
  clear(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    const entry = this.#find(fingerprint);
    return entry === undefined || entry.ended.size === 0
      ? null
      : this.merge({ ...recordOf(entry, now), ended: [], exonerated: [...entry.ended.keys()] }, now);
  }

  /** A server that was taken to have ended has answered a request that was sent after that was heard: it has not ended. */
  noteAlive(server: ServerId, sentAt: Milliseconds, now: Milliseconds): CrashRecord[] {
    const blame = this.#byServer.get(server);
    if (blame === undefined || sentAt <= blame.heardAt) {
      return [];
    }
    return [...blame.fingerprints]
      .map((fingerprint) => this.merge({ ...NOTHING, fingerprint, exonerated: [server] }, now))
      .filter((record) => record !== null);
  }

  /** Puts requests into quarantine that have been suspected for long enough; returns their records. */
  confirmSuspicions(confirmation: Milliseconds, now: Milliseconds): CrashRecord[] {
    return [...this.#ripe]
      .filter(({ suspectedAt }) => now - suspectedAt >= confirmation)
      .filter((entry) => spanOf(entry) >= LONGEST_BURST && this.#confirm(entry))
      .map((entry) => recordOf(entry, now));
  }

  /**
   * A request in quarantine has come again; whether it is sent once more all the same, since it comes so often that it is most likely a
   * hot one which was there by chance when servers ended.
   */
  isDueForRetest(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    const entry = this.#find(fingerprint);
    if (entry === undefined || entry.retested || now - entry.changedAt < RETEST_DELAY) {
      return false;
    }
    entry.refusals += 1;
    if (entry.refusals <= REFUSALS_BEFORE_RETEST) {
      return false;
    }
    entry.refusals = 0;
    return true;
  }

  /** A request in quarantine was sent once more, and the server's side ended the connection again: that was the last time. */
  failRetest(fingerprint: RequestFingerprint, now: Milliseconds): CrashRecord | null {
    return this.isQuarantined(fingerprint)
      ? this.merge({ ...NOTHING, fingerprint: fingerprint.value, retested: true }, now)
      : null;
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
    const entry: Entry = {
      fingerprint,
      ended: new Map(),
      copies: new LostCopies(),
      trialAt: Number.NEGATIVE_INFINITY,
      exonerated: new Set(),
      quarantined: false,
      retested: false,
      refusals: 0,
      suspectedAt: now,
      changedAt: now,
    };
    const head = headOf(fingerprint);
    this.#entries.set(fingerprint, entry);
    this.#heads.set(head, (this.#heads.get(head) ?? 0) + 1);
    return entry;
  }

  #addEnd(entry: Entry, { server, age, copies = [] }: CrashedServer, now: Milliseconds): boolean {
    const at = now - age;
    if (entry.ended.has(server)) {
      return entry.copies.add(server, copies, now);
    }
    if (entry.exonerated.has(server) || !this.#makeRoom(entry, at)) {
      return false;
    }
    entry.suspectedAt = entry.ended.size === 0 ? now : entry.suspectedAt;
    entry.ended.set(server, at);
    if (entry.ended.size >= CRASHES_FOR_QUARANTINE && !entry.quarantined) {
      this.#ripe.add(entry);
    }
    const blame = this.#byServer.get(server) ?? { fingerprints: new Set(), heardAt: now };
    blame.fingerprints.add(entry.fingerprint);
    this.#byServer.set(server, blame);
    entry.copies.add(server, copies, now);
    return true;
  }

  /** The newest end gives way to one that is newer still: the span from the first to the last one counts. */
  #makeRoom({ ended, copies, fingerprint }: Entry, at: Milliseconds): boolean {
    if (ended.size < MOST_ENDS) {
      return true;
    }
    const [newest, newestAt] = [...ended].reduce((left, right) => (right[1] > left[1] ? right : left));
    if (at <= newestAt) {
      return false;
    }
    ended.delete(newest);
    copies.forget(newest);
    this.#forgetBlame(newest, fingerprint);
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
    entry.copies.forget(server);
    if (entry.ended.size < CRASHES_FOR_QUARANTINE) {
      this.#ripe.delete(entry);
    }
    this.#forgetBlame(server, entry.fingerprint);
  }

  #forgetBlame(server: ServerId, fingerprint: string): void {
    const blame = this.#byServer.get(server);
    blame?.fingerprints.delete(fingerprint);
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
    entry.refusals = 0;
    this.#ripe.delete(entry);
    return true;
  }

  #touch(entry: Entry, now: Milliseconds): void {
    entry.changedAt = now;
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

  #dropIfBare(entry: Entry): void {
    if (entry.ended.size === 0 && entry.exonerated.size === 0) {
      this.#remove(entry);
    }
  }

  #remove(entry: Entry): void {
    [...entry.ended.keys()].forEach((server) => this.#dropEnd(entry, server));
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
