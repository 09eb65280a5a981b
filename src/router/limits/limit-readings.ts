/** Records the rate limits that servers announce in their responses to this daemon. */
import type { ServerLimitReadEvent } from '../events.js';
import type { ServerId } from '../model/identifiers.js';
import type { UnreadableLimit } from '../model/server-limit.js';
import type { RouterContext } from '../router-context.js';
import { propagateLimitReading } from './limit-propagation.js';

/** Maximum number of characters of an unparsable limit that are logged. */
const MAX_LOGGED_CHARACTERS = 60;

/** Handles a response that announces a limit, or that announces none (`reading` is null). */
export function receiveServerLimit(
  context: RouterContext,
  { server, reading, sentAt }: ServerLimitReadEvent,
): void {
  const { state, now } = context;
  if (reading !== null && typeof reading !== 'number') {
    reportUnreadableLimit(context, server, reading);
    return;
  }
  state.counters.limits_read += reading === null ? 0 : 1;
  const change = state.limits.recordReading(server, reading, sentAt, now);
  if (change !== null || reading !== null) {
    propagateLimitReading(context, server, change);
  }
}

/** Counts an unparsable limit, and logs it once per service. The limit in force doesn't change. */
function reportUnreadableLimit(
  context: RouterContext,
  server: ServerId,
  { unreadable }: UnreadableLimit,
): void {
  const { counters, serviceProfiles, servers } = context.state;
  counters.malformed_limits += 1;
  const service = servers.get(server)?.server.service;
  const profile = service === undefined ? undefined : serviceProfiles.get(service);
  if (profile?.loggedUnreadableLimit === false) {
    profile.loggedUnreadableLimit = true;
    const found = unreadable.slice(0, MAX_LOGGED_CHARACTERS);
    context.log('malformed_limit', { server, service, found }, 'warn');
  }
}
