/** Counts what this daemon observes of balanced services. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { ActiveRequest } from '../request/active-request.js';
import type { ReportedLoad } from '../request/server-load.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer, RouterState } from '../router-state.js';
import {
  addAllLoadCounts,
  countsOf,
  type CountsByService,
  demandOf,
  groupOf,
  type LoadCounts,
} from './load-counts.js';

/** Returns whether a service takes part: it is balanced, and its servers report their load to this or another daemon. */
function takesPart({ loadView }: RouterState, service: ServiceName): boolean {
  return loadView.reportingServices.has(service) || loadView.fleet.has(service);
}

function record(
  { state, now }: RouterContext,
  service: ServiceName,
  fill: (counts: LoadCounts) => void,
): void {
  const { loadView } = state;
  const counts: CountsByService = new Map();
  fill(countsOf(counts, service));
  loadView.own.add(counts, now);
  loadView.workTimes.add(counts, now);
  addAllLoadCounts(loadView.unreported, counts);
}

/** Counts a request that arrived from a caller. */
export function recordArrival(context: RouterContext, { key, origin, service, route }: ActiveRequest): void {
  if (key === null && origin === null && takesPart(context.state, service)) {
    record(context, service, (counts) => (demandOf(counts, route.priority).requests += 1));
  }
}

/**
 * Returns whether a server that has just answered has a slot free besides that of the answered request. The request has then most likely not
 * waited for a slot. The estimate before sending proves less: it is of other daemons' requests, most of which this daemon has not seen.
 */
function hasSpareSlot({ running, waiting, slots }: ReportedLoad): boolean {
  return running + waiting <= Math.max(0, slots - 2);
}

/** Counts the answer to a request that found a free slot; its duration is the work time. */
export function recordWorkTime(
  context: RouterContext,
  { key, service, route }: ActiveRequest,
  duration: Milliseconds,
  load: ReportedLoad,
): void {
  if (key === null && hasSpareSlot(load) && takesPart(context.state, service)) {
    record(context, service, (counts) => {
      const demand = demandOf(counts, route.priority);
      demand.answered += 1;
      demand.workTime += duration;
    });
  }
}

/** Counts a load report of a server. */
export function recordLoadReading(
  context: RouterContext,
  { server, load: { isReserved } }: KnownServer,
  { running, waiting, slots }: ReportedLoad,
): void {
  const { configuration, loadView } = context.state;
  const { service } = server;
  if (configuration?.services.get(service)?.keyed !== false) {
    return;
  }
  loadView.reportingServices.add(service);
  record(context, service, (counts) => {
    const group = groupOf(counts, isReserved);
    group.readings += 1;
    group.load += running + waiting;
    group.slots += slots;
  });
}
