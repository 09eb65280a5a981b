/**
 * Propagates changes of the configuration and the servers. A few daemons watch the store; the others receive updates from
 * their neighbours in the propagation tree. An update crosses each link once: a daemon doesn't forward an update that it
 * has already applied.
 */
import type { ConfigurationEvent, ServersChangedEvent, ServersListedEvent } from '../events.js';
import type { Child } from '../tree/tree-state.js';
import type {
  ConfigurationNews,
  UpdateSource,
  PeerMessage,
  Report,
  ServerChange,
  ServerNews,
} from '../peers/messages.js';
import { sendReportSoon } from '../tree/reports.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import * as directory from '../server-directory.js';

/** A full list or configuration isn't sent to a child again within this time: the last one may still be in transit. */
const FULL_UPDATE_INTERVAL: Milliseconds = 1_000;

function broadcast(context: RouterContext, message: PeerMessage, source: UpdateSource): void {
  context.emit({ kind: 'sendToChildren', link: null, message });
  if (source !== 'parent') {
    context.emit({ kind: 'sendToParent', message });
  }
}

/** Applies a configuration from the store or from another daemon, and broadcasts it if it is new. */
export function applyConfiguration(
  context: RouterContext,
  event: ConfigurationEvent,
  source: UpdateSource,
): void {
  if (directory.receiveConfiguration(context, event, source)) {
    const { configuration, revision } = event;
    broadcast(context, { kind: 'configurationNews', revision, configuration }, source);
  }
}

/** Remembers changes that this daemon has applied at its former position, and sends them to the other daemons. */
function broadcastServerChanges(
  context: RouterContext,
  applied: directory.AppliedChanges,
  completeFrom: number,
  source: UpdateSource,
): void {
  const { serverHistory } = context.state;
  const { former, revision, changes } = applied;
  if (former === null) {
    serverHistory.reset(revision);
    return;
  }
  serverHistory.append(revision, changes, completeFrom);
  broadcast(context, { kind: 'serverNews', base: former, completeFrom, revision, changes }, source);
}

/** Applies a full list of servers from the store. */
export function applyStoredServerList(context: RouterContext, event: ServersListedEvent): void {
  applyServerList(context, event, 'store');
}

function applyServerList(context: RouterContext, event: ServersListedEvent, source: UpdateSource): void {
  const applied = directory.receiveServersListed(context, event);
  if (applied !== null) {
    // The list doesn't show changes that have been undone since the former position.
    broadcastServerChanges(context, applied, event.revision, source);
  }
}

/** Applies changes of servers from the store. */
export function applyStoredServerChanges(context: RouterContext, event: ServersChangedEvent): void {
  // A watch reports every change after the position at which it began, which is this daemon's or an earlier one.
  applyServerChanges(context, { ...event, completeFrom: 0 }, 'store');
}

/** Changes of servers up to a revision, every one after `completeFrom`. */
type ServerChangeBatch = Pick<ServerNews, 'completeFrom' | 'revision'> & {
  readonly changes: readonly ServerChange[];
};

function applyServerChanges(
  context: RouterContext,
  { changes, revision, completeFrom }: ServerChangeBatch,
  source: UpdateSource,
): void {
  const applied = directory.receiveServerChanges(context, changes, revision);
  if (applied !== null) {
    broadcastServerChanges(context, applied, Math.max(applied.former ?? 0, completeFrom), source);
  }
}

/** Handles another daemon's message with changes of servers. */
export function receiveServerUpdate(context: RouterContext, update: ServerNews, source: UpdateSource): void {
  const position = context.state.serversRevision ?? 0;
  if (update.revision <= position) {
    return;
  }
  if (update.base === 0) {
    const servers = update.changes.map(({ server }) => server).filter((server) => server !== null);
    applyServerList(context, { kind: 'serversListed', servers, revision: update.revision }, source);
  } else if (update.base === position || (update.base < position && update.completeFrom <= position)) {
    applyServerChanges(context, update, source);
  } else {
    // Changes are missing between the two positions. The report shows the parent this daemon's position, and the parent sends them.
    sendReportSoon(context);
  }
}

/** Handles another daemon's message with a configuration. */
export function receiveConfigurationUpdate(
  context: RouterContext,
  { configuration, revision }: ConfigurationNews,
  source: UpdateSource,
): void {
  applyConfiguration(context, { kind: 'configuration', configuration, revision }, source);
}

function createFullServerUpdate(context: RouterContext, revision: number): ServerNews {
  const changes = [...context.state.servers.values()].map(({ server }) => directory.toServerChange(server));
  return { kind: 'serverNews', base: 0, completeFrom: revision, revision, changes };
}

function missedServerUpdate(context: RouterContext, child: Child, position: number): ServerNews | null {
  const { serverHistory, serversRevision } = context.state;
  if (serversRevision === null || position >= serverHistory.endRevision) {
    return null;
  }
  const missed = position === 0 ? null : serverHistory.changesSince(position);
  if (missed !== null) {
    return { kind: 'serverNews', base: position, completeFrom: missed.revision, ...missed };
  }
  if (context.now - child.serversSentAt < FULL_UPDATE_INTERVAL) {
    return null;
  }
  child.serversSentAt = context.now;
  return createFullServerUpdate(context, serversRevision);
}

/** Sends a child the updates that it lacks according to its report. Returns whether there are any. */
export function sendUpdatesSince(
  context: RouterContext,
  link: number,
  child: Child,
  report: Report,
): boolean {
  const { configuration, configurationRevision } = context.state;
  const servers = missedServerUpdate(context, child, report.serversPosition);
  if (servers !== null) {
    context.emit({ kind: 'sendToChildren', link, message: servers });
  }
  const isBehind = configuration !== null && report.configurationVersion < configuration.version;
  const sendsConfiguration = isBehind && context.now - child.configurationSentAt >= FULL_UPDATE_INTERVAL;
  if (sendsConfiguration) {
    child.configurationSentAt = context.now;
    const message = { kind: 'configurationNews', revision: configurationRevision, configuration } as const;
    context.emit({ kind: 'sendToChildren', link, message });
  }
  return servers !== null || sendsConfiguration;
}
