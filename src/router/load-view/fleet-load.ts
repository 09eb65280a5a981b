/** The load over all daemons: the leader computes it from the reports and sends it down with heartbeats. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { Heartbeat } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { isReporting } from '../tree/tree-state.js';
import { ServiceProfile } from '../request/service-profile.js';
import { hasFleetDemandRisen, isSurge } from './demand-rise.js';
import { addLoadCounts, createLoadCounts, type LoadCounts } from './load-counts.js';
import { type AnnouncedServiceLoad, readAnnouncedLoad, toAnnouncedLoad } from './load-messages.js';
import { countLoadDaemons, takeUnreportedCounts } from './load-reports.js';
import { scaleToLength, summarizeLoad } from './load-summary.js';
import type { FleetLoad } from './load-view-state.js';
import { FLEET_WINDOW, type LoadWindow } from './load-window.js';
import { recordMalformedLoad } from './malformed-loads.js';

/** A surge is detected in this last part of the windows. */
const SURGE_WINDOW: Milliseconds = 200;
/** An older load of all daemons is not used. */
export const MAX_FLEET_LOAD_AGE: Milliseconds = 1_500;
/** Shortest time between two heartbeats when demand rises. */
const EARLY_HEARTBEAT_INTERVAL: Milliseconds = 60;
/** A new leader announces loads only after this time, unless it has reports of half of the daemons before. */
const MAX_COLLECTION_TIME: Milliseconds = 2_000;
const MIN_REPORTED_SHARE = 0.5;

/** Returns the mean work time of a priority, or that of all measured requests of the service while none of this priority was measured. */
export function workTimeOf(
  { loadView, serviceProfiles }: RouterState,
  service: ServiceName,
  priority: number,
): Milliseconds {
  const profile = serviceProfiles.get(service) ?? new ServiceProfile();
  return loadView.workTimes.meanOf(service, priority) ?? profile.mean;
}

/** Returns the leader's own window and those of its children that still report. */
function fleetWindows({ tree, loadView }: RouterState, now: Milliseconds): LoadWindow[] {
  const children = [...tree.children.values()].filter((child) => isReporting(child, now));
  return [loadView.leaderWindow, ...children.map(({ loadWindow }) => loadWindow)];
}

function sumWindows(windows: readonly LoadWindow[], service: ServiceName, length: Milliseconds): LoadCounts {
  const total = createLoadCounts();
  for (const window of windows) {
    const { counts, span } = window.recent(service, length);
    addLoadCounts(total, counts, scaleToLength(span, FLEET_WINDOW));
  }
  return total;
}

/** Returns the counts of all windows. The requests of a priority whose demand surges are those of the last part of the windows. */
function countFleet(windows: readonly LoadWindow[], service: ServiceName): LoadCounts {
  const counts = sumWindows(windows, service, FLEET_WINDOW);
  const recent = sumWindows(windows, service, SURGE_WINDOW);
  for (const [priority, demand] of counts.demands) {
    const requests = recent.demands.get(priority)?.requests ?? 0;
    const share = SURGE_WINDOW / FLEET_WINDOW;
    if (isSurge(requests * share, demand.requests * share)) {
      demand.requests = requests;
    }
  }
  return counts;
}

/** Computes the load over all daemons at the leader. Daemons that didn't report are taken to have the mean demand of the others. */
export function computeFleetLoad(context: RouterContext, leadingSince: Milliseconds): void {
  const { state, now } = context;
  const { loadView } = state;
  const { counts, span } = takeUnreportedCounts(context);
  loadView.leaderWindow.add(counts, span);
  const reported = countLoadDaemons(state, now);
  const isComplete = reported >= state.daemons * MIN_REPORTED_SHARE;
  if (!isComplete && now - leadingSince < MAX_COLLECTION_TIME) {
    return;
  }
  const scale = Math.max(1, state.daemons / reported);
  const windows = fleetWindows(state, now);
  const services = new Set(windows.flatMap((window) => [...window.services()]));
  loadView.fleet = new Map(
    [...services].map((service) => {
      const counted = { counts: countFleet(windows, service), span: FLEET_WINDOW };
      const summary = summarizeLoad(counted, scale, (priority) => workTimeOf(state, service, priority));
      return [service, { summary, computedAt: now }];
    }),
  );
  sendHeartbeatEarly(context);
}

/** Returns whether the demand of any priority of a service has risen between two summaries. */
function hasRisen({ summary }: FleetLoad, former: FleetLoad | undefined): boolean {
  return [...summary.demandSlots].some(([priority, slots]) =>
    hasFleetDemandRisen(slots, former?.summary.demandSlots.get(priority) ?? 0),
  );
}

function haveAnyRisen(
  loads: ReadonlyMap<ServiceName, FleetLoad>,
  former: ReadonlyMap<ServiceName, FleetLoad>,
): boolean {
  return [...loads].some(([service, load]) => hasRisen(load, former.get(service)));
}

/** Makes the leader's next heartbeat due early if the demand has risen since the last one. */
function sendHeartbeatEarly({ state: { loadView, tree } }: RouterContext): void {
  if (haveAnyRisen(loadView.fleet, loadView.announced)) {
    const earliest = loadView.announcedAt + EARLY_HEARTBEAT_INTERVAL;
    tree.nextHeartbeatAt = Math.min(tree.nextHeartbeatAt, earliest);
  }
}

/** Records that a heartbeat with the current loads is being sent to all children. */
export function recordLoadsAnnounced({ state: { loadView }, now }: RouterContext): void {
  loadView.announced = loadView.fleet;
  loadView.announcedAt = now;
}

/** Returns the loads for a heartbeat, with their age. */
export function buildAnnouncedLoads({ state, now }: RouterContext): AnnouncedServiceLoad[] {
  return [...state.loadView.fleet]
    .filter(([, { computedAt }]) => now - computedAt <= MAX_FLEET_LOAD_AGE)
    .map(([service, { summary, computedAt }]) => toAnnouncedLoad(service, summary, now - computedAt));
}

/** Adopts the loads in a heartbeat. Returns whether demand has risen, so that the children should be told at once. */
export function receiveAnnouncedLoads(
  context: RouterContext,
  { serviceLoads, leader }: Pick<Heartbeat, 'serviceLoads' | 'leader'>,
): boolean {
  const { state, now } = context;
  const { fleet } = state.loadView;
  let isRisen = false;
  for (const load of serviceLoads) {
    const summary = readAnnouncedLoad(load);
    const former = fleet.get(load.service);
    if (summary === null) {
      recordMalformedLoad(context, load.service, leader, load);
    } else if (isBalanced(state, load.service)) {
      const received = { summary, computedAt: now - load.age };
      isRisen ||= hasRisen(received, former);
      fleet.set(load.service, received);
    }
  }
  removeOldLoads(fleet, now);
  return isRisen;
}

function isBalanced({ configuration }: RouterState, service: ServiceName): boolean {
  return configuration?.services.get(service)?.keyed === false;
}

function removeOldLoads(fleet: Map<ServiceName, FleetLoad>, now: Milliseconds): void {
  for (const [service, { computedAt }] of fleet) {
    if (now - computedAt > MAX_FLEET_LOAD_AGE) {
      fleet.delete(service);
    }
  }
}
