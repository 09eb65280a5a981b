/** Heartbeats to the children: the leader's own, or those that a relay forwards with the age of the leader's last heartbeat. */
import type { Milliseconds } from '../model/identifiers.js';
import { buildAnnouncedLoads, recordLoadsAnnounced } from '../load-view/fleet-load.js';
import { LEADERSHIP_VALIDITY, HEARTBEAT_INTERVAL } from '../ownership/ownership-timing.js';
import { evacuationsAge, storeDataAge } from '../news/store-data-age.js';
import type { Heartbeat } from '../peers/messages.js';
import { proxiesFor } from '../proxying/proxy-directory.js';
import type { RouterContext } from '../router-context.js';
import { type Child, isReporting } from './tree-state.js';

/** Number of the leader's children that watch the store in addition to the leader. */
const STORE_WATCHERS = 2;
/** A relay to which the leader or the store responded within this time is not disconnected: without heartbeats it reads the leader record. */
const RECENT_CONTACT: Milliseconds = 1_000;
/** Maximum confirmation age that a relay forwards: a leader that resigns sends an unbounded one. */
const MAX_CONFIRMATION_AGE: Milliseconds = 3_000;

/** A relay forwards each heartbeat that confirms newer data at once, and sends one of its own only when none comes. */
const RELAY_HEARTBEAT_INTERVAL: Milliseconds = 350;

/** The parts of a heartbeat that state the versions and the age of the sender's data. */
type DataVersions = Pick<
  Heartbeat,
  | 'newsAge'
  | 'evacuationsAge'
  | 'configurationVersion'
  | 'serversRevision'
  | 'serversPosition'
  | 'configurationRevision'
  | 'evacuations'
>;
/** A heartbeat without what concerns the receiving child only. */
type CommonHeartbeat = Omit<Heartbeat, 'reportSentAt' | 'reportHeld' | 'proxies'>;

/** Returns the children that watch the store: those connected longest, from different zones where possible. */
export function chooseStoreWatchers({ state, now }: RouterContext): string[] {
  const { tree, identity } = state;
  const chosen: Child[] = [];
  // An unreachable watcher couldn't report a change that the leader missed.
  const children = [...tree.children.values()].filter((child) => isReporting(child, now));
  const isInNewZone = ({ zone }: Child): boolean =>
    zone !== identity.zone && chosen.every((other) => other.zone !== zone);
  while (chosen.length < Math.min(STORE_WATCHERS, children.length)) {
    const remaining = children.filter((child) => !chosen.includes(child));
    chosen.push((remaining.find(isInNewZone) ?? remaining[0]) as Child);
  }
  return chosen.map(({ daemon }) => daemon);
}

/** Returns the parts of a heartbeat that state the versions and the age of this daemon's data. */
function dataVersions(context: RouterContext): DataVersions {
  const { configuration, configurationRevision, newestServerRevision, serversRevision, evacuations } =
    context.state;
  return {
    newsAge: storeDataAge(context),
    evacuationsAge: evacuationsAge(context),
    configurationVersion: configuration?.version ?? 0,
    serversRevision: newestServerRevision,
    serversPosition: serversRevision ?? 0,
    configurationRevision,
    evacuations: evacuations.statement(),
  };
}

function buildRelayedHeartbeat(context: RouterContext): CommonHeartbeat | null {
  const { state, now } = context;
  const { election, isolation } = state;
  const { leader } = election;
  const heardAge = now - election.lastHeartbeatAt;
  const isConnected = Math.min(heardAge, now - isolation.storeAnsweredAt) <= RECENT_CONTACT;
  if (leader === null || !Number.isFinite(heardAge) || !isConnected) {
    return null;
  }
  return {
    kind: 'heartbeat',
    term: leader.term,
    leader: leader.daemon,
    leaderLife: leader.life,
    leaderAddress: leader.address,
    heardAge: Math.round(heardAge),
    confirmationAge: Math.min(MAX_CONFIRMATION_AGE, election.confirmationAge),
    leaderRevision: election.leaderRevision,
    ...dataVersions(context),
    daemons: state.daemons,
    pathlessDaemons: state.pathlessDaemons,
    watchers: [],
    serviceLoads: buildAnnouncedLoads(context),
  };
}

function buildLeaderHeartbeat(context: RouterContext): CommonHeartbeat | null {
  const { state, now } = context;
  const { leadership, identity } = state;
  if (leadership === null || now - leadership.confirmedAt > LEADERSHIP_VALIDITY) {
    return null;
  }
  return {
    kind: 'heartbeat',
    term: leadership.term,
    leader: identity.daemon,
    leaderLife: identity.life,
    leaderAddress: identity.peerAddress,
    heardAge: 0,
    confirmationAge: Math.max(0, Math.round(now - leadership.confirmedAt)),
    leaderRevision: leadership.leaderRevision,
    ...dataVersions(context),
    daemons: state.daemons,
    pathlessDaemons: state.pathlessDaemons,
    watchers: chooseStoreWatchers(context),
    serviceLoads: buildAnnouncedLoads(context),
  };
}

/** Returns the heartbeat for all children, or null if this daemon has no recent information about a leader. */
function buildHeartbeat(context: RouterContext): CommonHeartbeat | null {
  return buildLeaderHeartbeat(context) ?? buildRelayedHeartbeat(context);
}

function sendTo(context: RouterContext, heartbeat: CommonHeartbeat, link: number, child: Child): void {
  const { reportSentAt, lastReportAt } = child;
  const reportHeld = context.now - lastReportAt;
  const proxies = proxiesFor(context, child);
  const message: Heartbeat = { ...heartbeat, reportSentAt, reportHeld, proxies };
  context.emit({ kind: 'sendToChildren', link, message });
}

/** Sends a heartbeat to one child. */
export function sendHeartbeat(context: RouterContext, link: number, child: Child): void {
  const heartbeat = buildHeartbeat(context);
  if (heartbeat !== null) {
    sendTo(context, heartbeat, link, child);
  }
}

/** Sends a heartbeat to all children when one is due. */
export function tickHeartbeats(context: RouterContext): void {
  const { tree, leadership } = context.state;
  if (context.now < tree.nextHeartbeatAt || tree.children.size === 0) {
    return;
  }
  tree.nextHeartbeatAt = context.now + (leadership === null ? RELAY_HEARTBEAT_INTERVAL : HEARTBEAT_INTERVAL);
  const heartbeat = buildHeartbeat(context);
  if (heartbeat !== null) {
    recordLoadsAnnounced(context);
    tree.children.forEach((child, link) => sendTo(context, heartbeat, link, child));
  }
}

/** Makes the next heartbeat due now, for example after a change of leader. */
export function sendHeartbeatSoon({ state, now }: RouterContext): void {
  state.tree.nextHeartbeatAt = now;
}
