/** The lowest limits that servers have named lately, for plans that should not follow each change. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';

/** A limit that has risen or ended counts for this long: one that comes and goes does so within seconds. */
const MEMORY: Milliseconds = 2_000;

interface RecentLimit {
  readonly rate: RequestsPerSecond;
  readonly until: Milliseconds;
}

export class RecentLimits {
  readonly #lowest = new Map<ServerId, RecentLimit>();

  /**
   * The lowest limit of a server, or null when it has named none lately.
   *
   * @param rate in force now, or null
   */
  lowest(server: ServerId, rate: RequestsPerSecond | null, now: Milliseconds): RequestsPerSecond | null {
    const known = this.#lowest.get(server);
    const isPast = known === undefined || known.until < now;
    if (rate !== null && (isPast || rate <= known.rate)) {
      this.#lowest.set(server, { rate, until: now + MEMORY });
      return rate;
    }
    if (isPast) {
      this.#lowest.delete(server);
      return null;
    }
    return known.rate;
  }
}
