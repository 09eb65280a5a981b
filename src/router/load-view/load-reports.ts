/** Sends the counts of this daemon and its subtree up the propagation tree, and merges those of its children. */
import type { Milliseconds } from '../model/identifiers.js';
import { REPORT_INTERVAL } from '../ownership/ownership-timing.js';
import type { Report } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { type Child, isReporting } from '../tree/tree-state.js';
import { addAllLoadCounts, type CountsByService } from './load-counts.js';
import { readReportedLoad, toReportedLoad } from './load-messages.js';
import { recordMalformedLoad } from './malformed-loads.js';

/** The fields of a report that carry the load view. */
type LoadReport = Pick<Report, 'serviceLoads' | 'loadDaemons' | 'demandRose'>;

/** Returns the number of daemons, of this one and its descendants, whose counts are included in this daemon's. */
export function countLoadDaemons({ tree }: RouterState, now: Milliseconds): number {
  let daemons = 1;
  for (const child of tree.children.values()) {
    daemons += isReporting(child, now) ? child.loadDaemons : 0;
  }
  return daemons;
}

/** Returns and resets the counts since the last report, and the time that they cover. */
export function takeUnreportedCounts({ state, now }: RouterContext): {
  counts: CountsByService;
  span: Milliseconds;
} {
  const { loadView } = state;
  const { unreported: counts, reportedAt } = loadView;
  loadView.unreported = new Map();
  loadView.reportedAt = now;
  const isFirst = reportedAt === Number.NEGATIVE_INFINITY;
  return { counts, span: isFirst ? REPORT_INTERVAL : now - reportedAt };
}

/** Returns whether this daemon's demand has risen since its last report, so that a report should be sent early. */
export function detectDemandRise({ state, now }: RouterContext): boolean {
  const { loadView } = state;
  if (!loadView.own.advance(now) || !loadView.own.hasRisen()) {
    return false;
  }
  loadView.hasDemandRisen = true;
  return true;
}

/** Returns the load fields of the next report, and begins new counts. */
export function buildLoadReport(context: RouterContext): LoadReport {
  const { state, now } = context;
  const { loadView } = state;
  const { counts, span } = takeUnreportedCounts(context);
  const demandRose = loadView.hasDemandRisen;
  loadView.hasDemandRisen = false;
  loadView.own.markReported();
  return {
    serviceLoads: [...counts].map(([service, loads]) => toReportedLoad(service, loads, span)),
    loadDaemons: countLoadDaemons(state, now),
    demandRose,
  };
}

/**
 * Merges the counts in a child's report.
 *
 * @param sinceLast time since the child's last report: a report without counts covers it
 */
export function receiveLoadReport(
  context: RouterContext,
  child: Child,
  report: Report,
  sinceLast: Milliseconds,
): void {
  const { loadView, configuration, leadership } = context.state;
  const counts: CountsByService = new Map();
  let longestSpan: Milliseconds | null = null;
  for (const load of report.serviceLoads) {
    const read = readReportedLoad(load);
    if (read === null) {
      recordMalformedLoad(context, load.service, child.daemon, load);
    } else if (configuration?.services.get(load.service)?.keyed === false) {
      counts.set(load.service, read);
      longestSpan = Math.max(longestSpan ?? 0, load.span);
    }
  }
  child.loadDaemons = report.loadDaemons;
  child.loadWindow.add(counts, longestSpan ?? sinceLast);
  loadView.workTimes.add(counts, context.now);
  if (leadership === null) {
    addAllLoadCounts(loadView.unreported, counts);
    loadView.hasDemandRisen ||= report.demandRose;
  } else if (report.demandRose) {
    leadership.nextReportAggregationAt = context.now;
  }
}
