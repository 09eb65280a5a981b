/** Handles the reports of this daemon's children: merges their data, sends the updates that they lack, and redirects new ones to relays. */
import { comparePeerVersions } from '../feed-lag.js';
import { receiveLoadReport } from '../load-view/load-reports.js';
import { FLEET_WINDOW, LoadWindow } from '../load-view/load-window.js';
import { sendUpdatesSince } from '../news/store-updates.js';
import { applyEvacuations } from '../news/apply-evacuations.js';
import { createNoticeSnapshots } from '../notices/notice-snapshots.js';
import { missedOwnershipMessage } from '../ownership/ownership-broadcast.js';
import type { Report } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import { sendHeartbeat } from './heartbeats.js';
import { type ProxyCandidate, type ProxyDescription, toCandidate } from '../proxying/proxy-candidate.js';
import { chooseRelay } from './relay-choice.js';
import { reportOverload, addKeyRequestCounts, sendReportSoon } from './reports.js';
import { type Child, isReporting } from './tree-state.js';

/** Merges a child's report and sends the updates that the child lacks. Redirects a new child to a relay or adds it. */
export function receiveReport(context: RouterContext, link: number, report: Report): void {
  applyEvacuations(context, report.evacuations);
  report.samples.forEach((sample) => addKeyRequestCounts(context, sample));
  for (const { lastAnswerAge, ...times } of report.times) {
    context.state.tree.times.push({ ...times, lastAnsweredAt: context.now - lastAnswerAge });
  }
  report.started.forEach((life) => context.state.tree.started.push(life));
  report.rests.forEach((rest) => context.state.tree.rests.push(rest));
  if (context.state.leadership !== null) {
    comparePeerVersions(context, report);
  }
  if (report.overloaded || report.rests.length > 0) {
    reportOverload(context);
  }
  if (report.demandRose && context.state.leadership === null) {
    sendReportSoon(context);
  }
  const known = context.state.tree.children.get(link);
  if (known !== undefined) {
    receiveLoadReport(context, known, report, context.now - known.lastReportAt);
    known.lastReportAt = context.now;
    known.reportSentAt = report.sentAt;
    known.daemons = report.daemons;
    const neededProxies = known.needsProxies;
    recordReach(context, known, report);
    const needsProxiesNow = known.needsProxies && !neededProxies;
    if (sendMissedUpdates(context, link, known, report) || needsProxiesNow) {
      sendHeartbeat(context, link, known);
    }
    return;
  }
  const relay = relayForNewChild(context, report);
  if (relay !== undefined) {
    relay.daemons += report.daemons;
    const message = { kind: 'redirect', address: relay.address } as const;
    context.emit({ kind: 'sendToChildren', link, message });
    return;
  }
  addChild(context, link, report);
}

/** Records what a child and its subtree reach. A relay whose subtree begins to need proxies asks its own parent for some. */
function recordReach(context: RouterContext, child: Child, report: Report): void {
  const { state, now } = context;
  const toKnown = (description: ProxyDescription): ProxyCandidate => toCandidate(description, now);
  child.reach = report.reach === null ? null : toKnown(report.reach);
  child.proxies = report.proxies.map(toKnown);
  child.pathlessDaemons = report.pathlessDaemons;
  if (report.needsProxies && !child.needsProxies && state.leadership === null) {
    sendReportSoon(context);
  }
  child.needsProxies = report.needsProxies;
}

/** Returns whether this daemon leads or has claimed the leader record, so that other daemons connect to it as the leader. */
function isNamedLeader({ leadership, election }: RouterState): boolean {
  const phase = election.candidacy?.phase ?? 'claiming';
  return leadership !== null || phase !== 'claiming';
}

/** Returns the relay for a new child, or undefined. Only the leader redirects, and only daemons without children of their own. */
function relayForNewChild({ state, now }: RouterContext, report: Report): Child | undefined {
  if (!isNamedLeader(state) || report.daemons > 1) {
    return undefined;
  }
  const children = [...state.tree.children.values()].filter((child) => isReporting(child, now));
  return chooseRelay(children, report.zone, report.failedRelay);
}

function addChild(context: RouterContext, link: number, report: Report): void {
  const { state, now } = context;
  const { daemon, life, address, zone, daemons } = report;
  const child: Child = {
    daemon,
    life,
    address,
    zone,
    lastReportAt: now,
    reportSentAt: report.sentAt,
    daemons,
    reach: null,
    proxies: [],
    needsProxies: false,
    pathlessDaemons: 0,
    loadDaemons: 0,
    loadWindow: new LoadWindow(FLEET_WINDOW),
    serversSentAt: Number.NEGATIVE_INFINITY,
    configurationSentAt: Number.NEGATIVE_INFINITY,
  };
  recordReach(context, child, report);
  receiveLoadReport(context, child, report, 0);
  state.tree.children.set(link, child);
  state.tree.started.push({ daemon, life });
  context.log('child_joined', { child: daemon, leads: state.leadership !== null });
  for (const message of createNoticeSnapshots(context)) {
    context.emit({ kind: 'sendToChildren', link, message });
  }
  sendMissedUpdates(context, link, child, report);
  // After the updates, without which the heartbeat would confirm nothing.
  sendHeartbeat(context, link, child);
}

/** Sends a child what it lacks according to its report. Returns whether updates from the store were among it. */
function sendMissedUpdates(context: RouterContext, link: number, child: Child, report: Report): boolean {
  const { ownershipView, leadership, election } = context.state;
  const isCurrent =
    ownershipView.term > 0 && ownershipView.term === (leadership?.term ?? election.leader?.term);
  const isChanging = leadership?.viewChanged === true;
  if (isCurrent && report.ownershipSequence !== ownershipView.sequence && !isChanging) {
    // The child missed an ownership change or has just connected.
    context.emit({ kind: 'sendToChildren', link, message: missedOwnershipMessage(context.state, report) });
  }
  return sendUpdatesSince(context, link, child, report);
}

/** Removes a child whose connection has ended. */
export function removeChild(context: RouterContext, link: number): void {
  const { children } = context.state.tree;
  const child = children.get(link);
  if (child !== undefined) {
    children.delete(link);
    context.log('child_left', { child: child.daemon, daemons: child.daemons });
  }
}
