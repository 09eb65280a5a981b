/**
 * Propagates to all daemons that a server is draining, as soon as one of them has received a response that says so. While the
 * store is unavailable its list of servers is out of date; the leader moves keys only off servers that it knows to be
 * draining, and a restarted daemon has no such knowledge of its own.
 */
import type { ServerId } from '../model/identifiers.js';
import type { LeavingNews, UpdateSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { LeavingServer } from './draining-servers.js';

/**
 * Records a response that said that its server is draining. While the store is unavailable the server's entry can't say so,
 * and the server would still be sent requests.
 */
export function recordDrainingResponse(context: RouterContext, server: ServerId): void {
  context.state.counters.leaving_answers += 1;
  mergeDrainingServers(context, [{ server, age: 0 }], 'answer');
}

/** Handles another daemon's message about draining servers. */
export function receiveDrainingUpdate(
  context: RouterContext,
  { servers }: LeavingNews,
  source: UpdateSource,
): void {
  mergeDrainingServers(context, servers, source);
}

/** Returns all draining servers, for a daemon that has just connected or a new parent; null when there are none. */
export function createDrainingSnapshot({ state, now }: RouterContext): LeavingNews | null {
  const servers = state.drainingServers.statement(now);
  return servers.length === 0 ? null : { kind: 'leavingNews', servers };
}

function mergeDrainingServers(
  context: RouterContext,
  servers: readonly LeavingServer[],
  source: UpdateSource | 'answer',
): void {
  const changed = servers.filter((draining) => mergeDrainingServer(context, draining, source));
  if (changed.length === 0) {
    return;
  }
  const message: LeavingNews = { kind: 'leavingNews', servers: changed };
  context.emit({ kind: 'sendToChildren', link: null, message });
  if (source !== 'parent') {
    context.emit({ kind: 'sendToParent', message });
  }
  const { leadership } = context.state;
  if (leadership !== null) {
    // The leader plans at once, so that keys move while the draining server still accepts requests for them.
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
  }
}

/** Merges one draining server. Returns whether the change should be propagated. */
function mergeDrainingServer(
  context: RouterContext,
  { server, age }: LeavingServer,
  source: UpdateSource | 'answer',
): boolean {
  const { state, now } = context;
  const at = now - age;
  const isFirst = state.drainingServers.drainingSince(server) === null;
  const isNew = state.drainingServers.record(server, at);
  const known = state.servers.get(server);
  if (known !== undefined) {
    known.drainingSince = Math.min(known.drainingSince ?? at, at);
  }
  if (isFirst) {
    const { service = null, address = null } = known?.server ?? {};
    context.log('server_says_leaving', { server, service, address, source, age: Math.round(age) });
  }
  return isNew;
}
