/** Load views of a simulated balanced service: of all daemons by way of a leader, or of one daemon alone. */
import type { ServiceLoadView } from '../../../src/router/load-view/load-view.js';

/** Time in milliseconds that the counts of a view cover. */
const WINDOW = 500;

interface Observation {
  readonly at: number;
  readonly kind: 'request' | 'reserved' | 'shared';
  /** Priority of a request, or the number of requests that a server reported. */
  readonly value: number;
}

/** Counts of the last half second. */
export class ObservedLoads {
  readonly #observations: Observation[] = [];

  add(observation: Observation): void {
    this.#observations.push(observation);
  }

  /**
   * Returns a view of the counts.
   *
   * @param workTime mean work time of each priority in milliseconds
   * @param scale factor from the counted requests to those of all daemons
   */
  view(
    source: ServiceLoadView['source'],
    now: number,
    workTime: (priority: number) => number,
    scale: number,
  ): ServiceLoadView {
    while ((this.#observations[0]?.at ?? now) < now - WINDOW) {
      this.#observations.shift();
    }
    const requests = new Map<number, number>();
    const sums = { reserved: { sum: 0, count: 0 }, shared: { sum: 0, count: 0 } };
    for (const { kind, value } of this.#observations) {
      if (kind === 'request') {
        requests.set(value, (requests.get(value) ?? 0) + 1);
      } else {
        sums[kind].sum += value;
        sums[kind].count += 1;
      }
    }
    const slots = new Map(
      [...requests].map(([priority, count]) => [
        priority,
        (count * scale * workTime(priority)) / Math.min(WINDOW, Math.max(1, now)),
      ]),
    );
    return {
      source,
      priorities: [...slots.keys()].sort((left, right) => left - right),
      demandSlots: (priority) => slots.get(priority) ?? 0,
      meanLoad: (isReserved) => {
        const { sum, count } = isReserved ? sums.reserved : sums.shared;
        return count === 0 ? null : sum / count;
      },
    };
  }
}
