/** The lowest rate limits that servers recently announced, for assignment plans, which should not follow each fluctuation. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';

/** Time for which a limit still counts after it has risen or ended: limits that fluctuate do so within seconds. */
const LIMIT_RETENTION: Milliseconds = 2_000;

interface RecentLimit {
  readonly rate: RequestsPerSecond;
  readonly until: Milliseconds;
}

/** The lowest recent limit of each server. */
export class RecentLimits {
  readonly #lowest = new Map<ServerId, RecentLimit>();

  /**
   * Returns the lowest recent limit of a server, or null if it has recently had none.
   *
   * @param rate limit in force now, or null
   */
  lowest(server: ServerId, rate: RequestsPerSecond | null, now: Milliseconds): RequestsPerSecond | null {
    const known = this.#lowest.get(server);
    const isExpired = known === undefined || known.until < now;
    if (rate !== null && (isExpired || rate <= known.rate)) {
      this.#lowest.set(server, { rate, until: now + LIMIT_RETENTION });
      return rate;
    }
    if (isExpired) {
      this.#lowest.delete(server);
      return null;
    }
    return known.rate;
  }
}
