/** Computes demand in slots and mean loads from counts. Pure. */
import type { Milliseconds } from '../model/identifiers.js';
import type { ServiceLoadView } from './load-view.js';
import type { CountedTime } from './load-window.js';
import type { LoadCounts } from './load-counts.js';

/** Demand and mean load of one service at one time. */
export interface LoadSummary {
  /** Busy slots by priority. */
  readonly demandSlots: ReadonlyMap<number, number>;
  /** Mean number of requests at a server, by whether the servers are reserved. */
  readonly meanLoads: ReadonlyMap<boolean, number>;
}

/** Counts over less time than this are taken to cover this time: the first reports of a daemon cover very little. */
const MIN_SPAN: Milliseconds = 100;

/** Returns the factor by which counts over a span become those over a length of time. */
export function scaleToLength(span: Milliseconds, length: Milliseconds): number {
  return length / Math.max(span, MIN_SPAN);
}

/**
 * Summarizes counts.
 *
 * @param scale the number of daemons that the counts stand for, divided by the number that counted
 * @param workTimeOf returns the mean work time of a priority
 */
export function summarizeLoad(
  { counts, span }: CountedTime,
  scale: number,
  workTimeOf: (priority: number) => Milliseconds,
): LoadSummary {
  const perMillisecond = scaleToLength(span, 1) * scale;
  const demandSlots = new Map<number, number>();
  for (const [priority, { requests }] of counts.demands) {
    demandSlots.set(priority, requests * perMillisecond * workTimeOf(priority));
  }
  return { demandSlots, meanLoads: meanLoadsOf(counts) };
}

function meanLoadsOf({ groups }: LoadCounts): Map<boolean, number> {
  const means = new Map<boolean, number>();
  for (const [isReserved, { readings, load }] of groups) {
    if (readings > 0) {
      means.set(isReserved, load / readings);
    }
  }
  return means;
}

/** Returns a summary as a view. */
export function viewOfSummary(
  { demandSlots, meanLoads }: LoadSummary,
  source: ServiceLoadView['source'],
): ServiceLoadView {
  const withDemand = [...demandSlots].filter(([, slots]) => slots > 0);
  return {
    source,
    priorities: withDemand.map(([priority]) => priority).sort((left, right) => left - right),
    demandSlots: (priority) => demandSlots.get(priority) ?? 0,
    meanLoad: (isReserved) => meanLoads.get(isReserved) ?? null,
  };
}
