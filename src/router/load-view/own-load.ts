/** What this daemon itself has counted lately. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import { hasDemandRisen } from './demand-rise.js';
import { addAllLoadCounts, type CountsByService } from './load-counts.js';
import { type CountedTime, LoadWindow } from './load-window.js';

/** Length of the window of own counts. A daemon sees few requests: over half a second its own demand is mostly chance. */
const OWN_WINDOW: Milliseconds = 2_000;
/** Counts are added to the window in steps of this length. */
const STEP: Milliseconds = 50;
/** Demand is compared with the reported one over this time. In a shorter one, a daemon with 5 requests a second rarely counts two. */
const RISE_WINDOW: Milliseconds = 300;
/** The demand that was reported is the mean over this time before the report, which is the interval of regular reports. */
const REPORTED_WINDOW: Milliseconds = 500;

/** Rates by service and priority, in requests per millisecond. */
type Rates = Map<ServiceName, Map<number, number>>;

export class OwnLoad {
  readonly #window = new LoadWindow(OWN_WINDOW);
  #current: CountsByService = new Map();
  #stepStartedAt: Milliseconds | null = null;
  #reportedRates: Rates = new Map();

  /** Adds counts of this daemon. */
  add(counts: CountsByService, now: Milliseconds): void {
    this.advance(now);
    addAllLoadCounts(this.#current, counts);
  }

  /** Ends the current step if it is over. Returns whether it was. */
  advance(now: Milliseconds): boolean {
    this.#stepStartedAt ??= now;
    const span = now - this.#stepStartedAt;
    if (span < STEP) {
      return false;
    }
    this.#window.add(this.#current, span);
    this.#current = new Map();
    this.#stepStartedAt = now;
    return true;
  }

  services(): Set<ServiceName> {
    return this.#window.services();
  }

  /** Returns the counts of a service over the whole window. */
  recent(service: ServiceName): CountedTime {
    return this.#window.recent(service);
  }

  /** Records that the current demand is being reported. */
  markReported(): void {
    this.#reportedRates = new Map(
      [...this.services()].map((service) => [
        service,
        ratesOf(this.#window.recent(service, REPORTED_WINDOW)),
      ]),
    );
  }

  /** Returns whether the demand of any service and priority has risen since the last report. */
  hasRisen(): boolean {
    for (const service of this.services()) {
      const { counts, span } = this.#window.recent(service, RISE_WINDOW);
      for (const [priority, { requests }] of counts.demands) {
        const reported = this.#reportedRates.get(service)?.get(priority) ?? 0;
        if (
          hasDemandRisen(requests, span, reported) &&
          hasDemandRisen(requests, span, this.#rateOf(service, priority))
        ) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the mean rate of the whole window. A report of half a second may have counted few requests by chance. */
  #rateOf(service: ServiceName, priority: number): number {
    return ratesOf(this.#window.recent(service)).get(priority) ?? 0;
  }
}

function ratesOf({ counts, span }: CountedTime): Map<number, number> {
  return new Map(
    [...counts.demands].map(([priority, { requests }]) => [priority, requests / Math.max(span, 1)]),
  );
}
