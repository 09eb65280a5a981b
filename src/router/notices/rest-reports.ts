/**
 * What the leader hears of owners that ask for rest. A server owes rest to each daemon by itself; one that asks several is too busy, or
 * ill, and its keys had better go elsewhere meanwhile.
 */
import type { DaemonName, Milliseconds, ServerId } from '../model/identifiers.js';

/** A rest that a server asked a daemon for. */
export interface RestReport {
  readonly server: ServerId;
  readonly daemon: DaemonName;
  /** Of the rest, when this was sent. */
  readonly left: Milliseconds;
}

/** Keys move off a server that so many daemons owe rest at once: one alone may have sent it too much. */
const ENOUGH_DAEMONS = 2;
/** Keys don't move for a rest that is shorter: a move takes about 200 ms from the first word to the grant. */
export const SHORTEST_MOVED_REST: Milliseconds = 1_000;
/** After its rest a server gets no further keys for so many times its length: one that goes on rejecting asks anew with each request. */
const COOLING_FACTOR = 1;

/** Of all daemons and servers. */
export class RestReports {
  /** Until when each daemon's word counts. */
  readonly #rests = new Map<ServerId, Map<DaemonName, Milliseconds>>();

  /** Takes a report in. */
  add({ server, daemon, left }: RestReport, now: Milliseconds): void {
    if (left < SHORTEST_MOVED_REST) {
      return;
    }
    const ofServer = this.#rests.get(server) ?? new Map<DaemonName, Milliseconds>();
    ofServer.set(daemon, now + left * (1 + COOLING_FACTOR));
    this.#rests.set(server, ofServer);
  }

  /**
   * Whether a server should own no keys now.
   *
   * @param daemons how many there are
   */
  isResting(server: ServerId, daemons: number, now: Milliseconds): boolean {
    const ofServer = this.#rests.get(server);
    if (ofServer === undefined) {
      return false;
    }
    for (const [daemon, until] of ofServer) {
      if (now >= until) {
        ofServer.delete(daemon);
      }
    }
    if (ofServer.size === 0) {
      this.#rests.delete(server);
    }
    return ofServer.size >= Math.min(ENOUGH_DAEMONS, daemons);
  }
}
