/** Applies configurations and updates of the server list. Neither is ever replaced by an older version. */
import type { ConfigurationEvent, ServersListedEvent } from './events.js';
import type { LogEventName } from './log-events.js';
import type { Milliseconds, ServerId, ServiceName } from './model/identifiers.js';
import { RouteTable } from './model/route-table.js';
import { instanceOf } from './model/server-incarnation.js';
import type { ServerDescription } from './model/server.js';
import type { UpdateSource, ServerChange } from './peers/messages.js';
import { Permits } from './limits/permits.js';
import { ServerBackOff } from './notices/server-back-off.js';
import { ServerContact } from './reachability/server-contact.js';
import { ServerLoad } from './request/server-load.js';
import { ServiceProfile } from './request/service-profile.js';
import { storeDataAge, storeDataConfirmedAt } from './news/store-data-age.js';
import { SendWindows } from './sharing/send-windows.js';
import type { RouterContext } from './router-context.js';
import type { KnownServer } from './router-state.js';

/** Applies a configuration if it is newer than the current one. Returns whether it is. */
export function receiveConfiguration(
  context: RouterContext,
  event: ConfigurationEvent,
  source: UpdateSource,
): boolean {
  const { state } = context;
  const { configuration, revision } = event;
  state.configurationRevision = Math.max(state.configurationRevision, revision);
  const former = state.configuration?.version ?? null;
  if (former !== null && configuration.version <= former) {
    return false;
  }
  state.configuration = configuration;
  state.routes = new RouteTable(configuration.routes);
  state.counters.configurations_applied += 1;
  const { version, routes } = configuration;
  context.log('configuration_applied', { version, former, routes: routes.length, source, revision });
  return true;
}

/** Returns whether a change is new. An entry that is older than the known one is not, whichever incarnation it describes. */
function isNewChange({ state }: RouterContext, { id, server }: ServerChange): boolean {
  const life = state.serverIdsByInstance.get(id);
  const known = life === undefined ? undefined : state.servers.get(life)?.server;
  if (known === undefined || server === null) {
    return known !== undefined || server !== null;
  }
  return (
    server.revision > known.revision ||
    (server.revision === known.revision && server.draining !== known.draining)
  );
}

/** Changes of servers that this daemon has applied, as other daemons need them. */
export interface AppliedChanges {
  /** Revision up to which the servers were known before; null before the first list. */
  readonly former: number | null;
  /** Revision up to which they are known now. */
  readonly revision: number;
  readonly changes: ServerChange[];
}

/** Applies a complete server list. Returns the entries that differ; null: the list says nothing new. */
export function receiveServersListed(
  context: RouterContext,
  { servers, revision }: ServersListedEvent,
): AppliedChanges | null {
  const former = context.state.serversRevision;
  if (former !== null && revision < former) {
    return null;
  }
  const listed = servers.map(toServerChange);
  const names = new Set(listed.map(({ id }) => id));
  const gone = [...context.state.serverIdsByInstance.keys()].filter((id) => !names.has(id));
  const changes: ServerChange[] = [...gone.map((id) => ({ id, server: null })), ...listed];
  const applied = applyNewChanges(context, changes, revision);
  return former === revision && applied.length === 0 ? null : { former, revision, changes: applied };
}

/**
 * Applies server changes up to a revision. Returns those that a daemon at the former revision may lack, among them removals of
 * servers that this daemon never knew; null: a later revision is known already, or nothing has changed since.
 */
export function receiveServerChanges(
  context: RouterContext,
  changes: readonly ServerChange[],
  revision: number,
): AppliedChanges | null {
  const former = context.state.serversRevision;
  if (former !== null && revision < former) {
    return null;
  }
  // An entry that was removed and is back must not be removed by the earlier of the two changes.
  const latest = [...new Map(changes.map((change) => [change.id, change])).values()];
  const isLacking = ({ server }: ServerChange): boolean => server === null || server.revision > (former ?? 0);
  const lacking = latest.filter((change) => isLacking(change) || isNewChange(context, change));
  if (lacking.length === 0 && revision === former) {
    return null;
  }
  applyNewChanges(context, lacking, revision);
  return { former, revision, changes: lacking };
}

/** Applies those of the changes that are new, and returns them. */
function applyNewChanges(
  context: RouterContext,
  changes: readonly ServerChange[],
  revision: number,
): ServerChange[] {
  const { state } = context;
  const isFirstList = state.serversRevision === null;
  state.serversRevision = revision;
  const effective = changes.filter((change) => isNewChange(context, change));
  for (const { id, server } of effective) {
    const former = state.serverIdsByInstance.get(id);
    if (former !== undefined && former !== server?.id) {
      removeServer(context, former, revision);
    }
    if (server !== null) {
      state.serverIdsByInstance.set(id, server.id);
      addOrUpdateServer(context, server, revision, isFirstList);
    }
  }
  if (isFirstList) {
    // One log line for all servers: hundreds of servers are listed at each start.
    context.log('servers_listed', { servers: effective.length, revision });
  }
  return effective;
}

/** Returns the change that adds or updates a server's entry. */
export function toServerChange(server: ServerDescription): ServerChange {
  return { id: instanceOf(server.id), server };
}

function removeServer(context: RouterContext, id: ServerId, revision: number): void {
  const { servers, serverIdsByInstance, serversByService, counters } = context.state;
  const known = servers.get(id);
  if (known !== undefined) {
    servers.delete(id);
    serverIdsByInstance.delete(instanceOf(id));
    context.emit({ kind: 'forgetConnections', address: known.server.address });
    serversByService.get(known.server.service)?.delete(id);
    counters.server_changes += 1;
    const { service } = known.server;
    context.log('server_gone', {
      server: id,
      service,
      revision,
      unconfirmed: storeDataAge(context),
    });
  }
}

function getOrCreateProfile(context: RouterContext, service: ServiceName): ServiceProfile {
  const { serviceProfiles } = context.state;
  let profile = serviceProfiles.get(service);
  if (profile === undefined) {
    profile = new ServiceProfile();
    serviceProfiles.set(service, profile);
  }
  return profile;
}

/**
 * Returns when a server's warm-up ends according to an entry. Servers of a restored zone count as cold for their whole warm-up time,
 * since an entry that says otherwise may have been written before they turned cold.
 */
function coldEnd({ state, now }: RouterContext, server: ServerDescription): Milliseconds {
  const coldTime = state.configuration?.services.get(server.service)?.coldTime ?? 0;
  return Math.max(now + server.warmupLeft, state.evacuations.restoredAt(server.zone) + coldTime);
}

function addOrUpdateServer(
  context: RouterContext,
  server: ServerDescription,
  revision: number,
  isFirstList: boolean,
): void {
  const { servers, serversByService } = context.state;
  const known = servers.get(server.id);
  context.state.newestServerRevision = Math.max(context.state.newestServerRevision, server.revision);
  if (known === undefined) {
    const phase = context.state.random.fraction();
    const added: KnownServer = {
      server,
      load: new ServerLoad(getOrCreateProfile(context, server.service), server.slots, context.state.daemons),
      contact: new ServerContact(),
      coldUntil: coldEnd(context, server),
      coldSendWindows: new SendWindows(phase),
      permits: new Permits(phase),
      backOff: new ServerBackOff(),
      firstSeenAt: context.now,
      drainingSince: drainingSince(context, server),
    };
    servers.set(server.id, added);
    const ofService = serversByService.get(server.service) ?? new Map<ServerId, KnownServer>();
    ofService.set(server.id, added);
    serversByService.set(server.service, ofService);
    if (!isFirstList) {
      logServerChange(context, 'server_added', server, revision);
    }
    return;
  }
  if (server.draining !== known.server.draining) {
    logServerChange(context, server.draining ? 'server_draining' : 'server_ready', server, revision);
  }
  if (server.revision !== known.server.revision) {
    // A later entry is more accurate. Its remaining warm-up counts from now, although the entry may be older.
    known.coldUntil = coldEnd(context, server);
  }
  known.server = server;
  const since = drainingSince(context, server);
  const isStillDraining = since !== null && server.draining;
  known.drainingSince = isStillDraining ? Math.min(known.drainingSince ?? since, since) : since;
}

/**
 * Returns the earliest time since when a server may be draining that is new to this daemon or whose entry has changed; null: it is
 * not draining. The store accepted the change after the last confirmation of the former entry.
 */
function drainingSince(
  { state, now }: RouterContext,
  { id, draining }: ServerDescription,
): Milliseconds | null {
  const toldAt = state.drainingServers.drainingSince(id);
  if (!draining) {
    return toldAt;
  }
  return Math.min(now, storeDataConfirmedAt(state), toldAt ?? Number.POSITIVE_INFINITY);
}

function logServerChange(
  context: RouterContext,
  event: LogEventName,
  server: ServerDescription,
  revision: number,
): void {
  context.state.counters.server_changes += 1;
  const { id, service, address, zone, slots, draining } = server;
  const unconfirmed = storeDataAge(context);
  context.log(event, { server: id, service, address, zone, slots, draining, revision, unconfirmed });
}
