/**
 * Propagates changes of the configuration and the servers. A few daemons watch the store; the others receive updates from
 * their neighbours in the propagation tree. An update crosses each link once: a daemon doesn't forward an update that it
 * has already applied.
 */
import type { ConfigurationEvent, ServersChangedEvent, ServersListedEvent } from '../events.js';
import type { Child } from '../tree/tree-state.js';
import type {
  ConfigurationNews,
  NewsSource,
  PeerMessage,
  Report,
  ServerChange,
  ServerNews,
} from '../peers/messages.js';
import { hastenReport } from '../tree/reports.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import * as directory from '../server-directory.js';

/** A full list or configuration isn't sent to a child again within this time: the last one may still be in transit. */
const WHOLE_REPEAT: Milliseconds = 1_000;

function spread(context: RouterContext, message: PeerMessage, source: NewsSource): void {
  context.emit({ kind: 'sendToChildren', link: null, message });
  if (source !== 'parent') {
    context.emit({ kind: 'sendToParent', message });
  }
}

/** Applies a configuration from the store or from another daemon, and broadcasts it if it is new. */
export function takeConfiguration(
  context: RouterContext,
  event: ConfigurationEvent,
  source: NewsSource,
): void {
  if (directory.receiveConfiguration(context, event, source)) {
    const { configuration, revision } = event;
    spread(context, { kind: 'configurationNews', revision, configuration }, source);
  }
}

function spreadServers(
  context: RouterContext,
  changes: readonly ServerChange[],
  revision: number,
  source: NewsSource,
): void {
  const { serverHistory } = context.state;
  if (serverHistory.end === 0) {
    serverHistory.restart(revision);
  } else if (changes.length > 0) {
    const base = serverHistory.end;
    serverHistory.append(revision, changes);
    spread(context, { kind: 'serverNews', base, revision, changes: [...changes] }, source);
  }
}

/** Applies a full list of servers from the store. */
export function takeServerList(context: RouterContext, event: ServersListedEvent): void {
  takeWholeList(context, event, 'store');
}

function takeWholeList(context: RouterContext, event: ServersListedEvent, source: NewsSource): void {
  const changes = directory.receiveServersListed(context, event);
  if (changes !== null) {
    spreadServers(context, changes, event.revision, source);
  }
}

/** Applies changes of servers from the store. */
export function takeServerChanges(context: RouterContext, event: ServersChangedEvent): void {
  applyChanges(context, event.changes, event.revision, 'store');
}

function applyChanges(
  context: RouterContext,
  changes: readonly ServerChange[],
  revision: number,
  source: NewsSource,
): void {
  const effective = directory.receiveServerChanges(context, changes, revision);
  if (effective !== null) {
    spreadServers(context, effective, revision, source);
  }
}

/** Handles another daemon's message with changes of servers. */
export function receiveServerNews(context: RouterContext, news: ServerNews, source: NewsSource): void {
  const position = context.state.serversRevision ?? 0;
  if (news.revision <= position) {
    return;
  }
  if (news.base === 0) {
    const servers = news.changes.map(({ server }) => server).filter((server) => server !== null);
    takeWholeList(context, { kind: 'serversListed', servers, revision: news.revision }, source);
  } else if (news.base <= position) {
    applyChanges(context, news.changes, news.revision, source);
  } else {
    // Earlier changes were missed. The report shows the parent this daemon's position, and the parent sends them.
    hastenReport(context);
  }
}

/** Handles another daemon's message with a configuration. */
export function receiveConfigurationNews(
  context: RouterContext,
  { configuration, revision }: ConfigurationNews,
  source: NewsSource,
): void {
  takeConfiguration(context, { kind: 'configuration', configuration, revision }, source);
}

function wholeList(context: RouterContext, revision: number): ServerNews {
  const changes = [...context.state.servers.values()].map(({ server }) => directory.changeTo(server));
  return { kind: 'serverNews', base: 0, revision, changes };
}

function serversFor(context: RouterContext, child: Child, position: number): ServerNews | null {
  const { serverHistory, serversRevision } = context.state;
  if (serversRevision === null || position >= serverHistory.end) {
    return null;
  }
  const missed = position === 0 ? null : serverHistory.since(position);
  if (missed !== null) {
    return { kind: 'serverNews', base: position, ...missed };
  }
  if (context.now - child.serversSentAt < WHOLE_REPEAT) {
    return null;
  }
  child.serversSentAt = context.now;
  return wholeList(context, serversRevision);
}

/** Sends a child the updates that it lacks according to its report. */
export function catchUp(context: RouterContext, link: number, child: Child, report: Report): void {
  const { configuration, configurationRevision } = context.state;
  const servers = serversFor(context, child, report.serversPosition);
  if (servers !== null) {
    context.emit({ kind: 'sendToChildren', link, message: servers });
  }
  const isBehind = configuration !== null && report.configurationVersion < configuration.version;
  if (isBehind && context.now - child.configurationSentAt >= WHOLE_REPEAT) {
    child.configurationSentAt = context.now;
    const message = { kind: 'configurationNews', revision: configurationRevision, configuration } as const;
    context.emit({ kind: 'sendToChildren', link, message });
  }
}
