/** A daemon's periodic report to its parent: that it is alive, the versions it knows, and the requests and response times in its subtree. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import { buildLoadReport, detectDemandRise } from '../load-view/load-reports.js';
import { REPORT_INTERVAL } from '../ownership/ownership-timing.js';
import type { KeySample, ServerTimes } from '../peers/messages.js';
import { describeOwnReach } from '../proxying/proxy-candidate.js';
import { areProxiesNeeded, proxiesBelow } from '../proxying/proxy-directory.js';
import { lostServices } from '../reachability/path-checks.js';
import type { RouterContext } from '../router-context.js';
import type { KeyRequestCounts } from './key-request-counts.js';
import { countDescendants, countPathlessDescendants } from './tree-state.js';

/** Minimum time between reports when one is sent early, for example because a server is overloaded. */
const EARLY_REPORT_INTERVAL: Milliseconds = 150;
/** Minimum time between early reports of a relay, so that an overload report reaches the leader in about 200 ms. */
const EARLY_RELAY_REPORT_INTERVAL: Milliseconds = 50;
/** Report interval of a relay; short, since the reports that it forwards have already waited at its children. */
const RELAY_REPORT_INTERVAL: Milliseconds = 250;
/** Maximum number of keys of one service in a report; the most requested ones are reported. */
const MAX_REPORTED_KEYS = 2_000;

/** Ages that are reported are at most this. */
const MAX_REPORTED_AGE: Milliseconds = 600_000;

/** Adds request counts of keys to those of their service. */
export function addKeyRequestCounts(context: RouterContext, { service, keys, counts }: KeySample): void {
  const { keyTallies } = context.state;
  const requestCounts: KeyRequestCounts = keyTallies.get(service) ?? new Map();
  keys.forEach((key, index) => requestCounts.set(key, (requestCounts.get(key) ?? 0) + (counts[index] ?? 1)));
  keyTallies.set(service, requestCounts);
}

/** Returns and resets the response times of servers of keyed services in this daemon's subtree. The leader assigns keys by them. */
export function collectServerTimes(context: RouterContext): ServerTimes[] {
  const { servers, configuration, tree } = context.state;
  const ageOf = (time: Milliseconds): Milliseconds => Math.min(MAX_REPORTED_AGE, context.now - time);
  const times: ServerTimes[] = tree.times.map(({ lastAnsweredAt, ...received }) => ({
    ...received,
    lastAnswerAge: ageOf(lastAnsweredAt),
  }));
  tree.times = [];
  for (const { server, load } of servers.values()) {
    const { requests, total } = load.unreported;
    if (total > 0) {
      load.unreported.requests = 0;
      load.unreported.total = 0;
      if (configuration?.services.get(server.service)?.keyed === true) {
        times.push({ server: server.id, requests, total, lastAnswerAge: ageOf(load.lastAnswerAt) });
      }
    }
  }
  return times;
}

function toKeySample([service, requestCounts]: [ServiceName, KeyRequestCounts]): KeySample {
  let entries = [...requestCounts];
  if (entries.length > MAX_REPORTED_KEYS) {
    entries = entries.sort(([, left], [, right]) => right - left).slice(0, MAX_REPORTED_KEYS);
  }
  return { service, keys: entries.map(([key]) => key), counts: entries.map(([, count]) => count) };
}

/** Returns and resets the request counts of keys. */
export function collectKeySamples(context: RouterContext): KeySample[] {
  const samples = [...context.state.keyTallies].map(toKeySample);
  context.state.keyTallies.clear();
  return samples;
}

/** Makes the next report due early, for example after missed updates. */
export function sendReportSoon({ state }: RouterContext): void {
  const { election, tree } = state;
  const interval = tree.children.size > 0 ? EARLY_RELAY_REPORT_INTERVAL : EARLY_REPORT_INTERVAL;
  election.nextReportAt = Math.min(election.nextReportAt, election.lastReportAt + interval);
}

/** Reports early that a server that owns keys is overloaded, so that the leader soon makes a new assignment plan. */
export function reportOverload(context: RouterContext): void {
  context.state.tree.overloaded = true;
  sendReportSoon(context);
}

/** Makes the next report due now, so that a new parent learns at once which daemon has connected and confirms its data. */
export function sendReportNow(context: RouterContext): void {
  context.state.election.nextReportAt = context.now;
}

/** Returns how many daemons, of this one and its descendants, have lost their path to the servers of a service. */
export function countPathlessDaemons({ state, now }: RouterContext): number {
  const isPathless = lostServices(state).length > 0;
  return (isPathless ? 1 : 0) + countPathlessDescendants(state.tree, now);
}

/** Sends a report to the parent when one is due. */
export function tickReports(context: RouterContext): void {
  const { state, now } = context;
  const { election, tree, identity } = state;
  if (detectDemandRise(context)) {
    sendReportSoon(context);
  }
  if (now < election.nextReportAt) {
    return;
  }
  election.lastReportAt = now;
  election.nextReportAt = now + (tree.children.size > 0 ? RELAY_REPORT_INTERVAL : REPORT_INTERVAL);
  const { started, overloaded, rests } = tree;
  tree.started = [];
  tree.rests = [];
  tree.overloaded = false;
  context.emit({
    kind: 'sendToParent',
    message: {
      kind: 'report',
      daemon: identity.daemon,
      life: identity.life,
      address: identity.peerAddress,
      zone: identity.zone,
      configurationVersion: state.configuration?.version ?? 0,
      serversRevision: state.newestServerRevision,
      serversPosition: state.serversRevision ?? 0,
      ownershipSequence:
        state.ownershipView.term === election.leader?.term ? state.ownershipView.sequence : 0,
      viewTerm: state.ownershipView.term,
      viewSequence: state.ownershipView.sequence,
      daemons: 1 + countDescendants(state.tree, now),
      started,
      overloaded,
      failedRelay: tree.failedRelay,
      evacuations: state.evacuations.statement(),
      sentAt: now,
      samples: collectKeySamples(context),
      times: collectServerTimes(context),
      rests,
      reach: describeOwnReach(state, now),
      proxies: proxiesBelow(context),
      needsProxies: areProxiesNeeded(context),
      pathlessDaemons: countPathlessDaemons(context),
      ...buildLoadReport(context),
    },
  });
}
