/**
 * Tells all daemons that a server leaves as soon as one of them has had an answer that says so. The store may be away, and its list
 * late by as long; the leader can move keys only if it knows, and a daemon that was started anew knows nothing by itself.
 */
import type { ServerId } from '../model/identifiers.js';
import type { LeavingNews, UpdateSource } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { LeavingServer } from './leaving-servers.js';

/** An answer to this daemon said that a server leaves: while the store is away, its entry can't, and it would go on getting requests. */
export function noteLeavingAnswer(context: RouterContext, server: ServerId): void {
  context.state.counters.leaving_answers += 1;
  takeLeaving(context, [{ server, age: 0 }], 'answer');
}

/** Another daemon told of servers that leave. */
export function receiveLeavingNews(
  context: RouterContext,
  { servers }: LeavingNews,
  source: UpdateSource,
): void {
  takeLeaving(context, servers, source);
}

/** All that is known, for a daemon that has just connected or a parent that was just found; null: nothing. */
export function describeLeaving({ state, now }: RouterContext): LeavingNews | null {
  const servers = state.leaving.statement(now);
  return servers.length === 0 ? null : { kind: 'leavingNews', servers };
}

function takeLeaving(
  context: RouterContext,
  servers: readonly LeavingServer[],
  source: UpdateSource | 'answer',
): void {
  const isNews = servers.filter((leaving) => takeOne(context, leaving, source));
  if (isNews.length === 0) {
    return;
  }
  const message: LeavingNews = { kind: 'leavingNews', servers: isNews };
  context.emit({ kind: 'sendToChildren', link: null, message });
  if (source !== 'parent') {
    context.emit({ kind: 'sendToParent', message });
  }
  const { leadership } = context.state;
  if (leadership !== null) {
    // Their keys move on while the server still takes requests for them.
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
  }
}

/** Whether others should hear of it. */
function takeOne(
  context: RouterContext,
  { server, age }: LeavingServer,
  source: UpdateSource | 'answer',
): boolean {
  const { state, now } = context;
  const at = now - age;
  const isFirst = state.leaving.since(server) === null;
  const isNews = state.leaving.note(server, at);
  const known = state.servers.get(server);
  if (known !== undefined) {
    known.drainingSince = Math.min(known.drainingSince ?? at, at);
  }
  if (isFirst) {
    const { service = null, address = null } = known?.server ?? {};
    context.log('server_says_leaving', { server, service, address, source, age: Math.round(age) });
  }
  return isNews;
}
