/**
 * The leader's record of back-offs that owners of keys have asked for. Each daemon keeps a server's back-off by itself; a
 * server that asks several daemons is overloaded or faulty, and its keys are better served by other servers meanwhile.
 */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';

/** A back-off that a server asked a daemon for. */
export interface RestReport {
  readonly server: ServerId;
  readonly daemon: DaemonName;
  /** The remaining time of the back-off when the report was sent. */
  readonly left: Milliseconds;
}

/** Keys move off a server that has asked this many daemons to back off: a single daemon may have sent it too much. */
const MIN_REPORTING_DAEMONS = 2;
/** Keys don't move for a shorter back-off: a move takes about 200 ms from the first message to the grant. */
export const MIN_BACK_OFF_TO_MOVE_KEYS: Milliseconds = 1_000;
/**
 * After its back-off a server is given no keys for this many times the length of the back-off: a server that still rejects
 * requests asks for another back-off with each of them.
 */
const COOL_DOWN_FACTOR = 1;

/** The back-off reports of all daemons, by server. */
export class BackOffReports {
  /** When each daemon's report expires. */
  readonly #expiryTimes = new Map<ServerId, Map<DaemonName, Milliseconds>>();

  /** Adds a report, unless its back-off is too short to move keys. */
  add({ server, daemon, left }: RestReport, now: Milliseconds): void {
    if (left < MIN_BACK_OFF_TO_MOVE_KEYS) {
      return;
    }
    const serverReports = this.#expiryTimes.get(server) ?? new Map<DaemonName, Milliseconds>();
    serverReports.set(daemon, now + left * (1 + COOL_DOWN_FACTOR));
    this.#expiryTimes.set(server, serverReports);
  }

  /**
   * Whether a server should own no keys now, because enough daemons are in back-off from it.
   *
   * @param daemons the number of daemons
   */
  isInBackOff(server: ServerId, daemons: number, now: Milliseconds): boolean {
    const serverReports = this.#expiryTimes.get(server);
    if (serverReports === undefined) {
      return false;
    }
    for (const [daemon, until] of serverReports) {
      if (now >= until) {
        serverReports.delete(daemon);
      }
    }
    if (serverReports.size === 0) {
      this.#expiryTimes.delete(server);
    }
    return serverReports.size >= Math.min(MIN_REPORTING_DAEMONS, daemons);
  }
}
