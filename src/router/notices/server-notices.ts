/** Handles the notices about themselves that servers attach to responses. */
import type { ServerNoticedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { BackOffReading } from '../model/server-notice.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { reportOverload } from '../tree/reports.js';
import { recordDrainingResponse } from './draining-updates.js';
import { MIN_BACK_OFF_TO_MOVE_KEYS } from './back-off-reports.js';

/** Maximum number of characters of an unreadable value in the log. */
const MAX_LOGGED_CHARACTERS = 60;

/** Handles a response whose server says that it is draining or asks for a back-off. */
export function receiveServerNotice(context: RouterContext, { server, notice }: ServerNoticedEvent): void {
  if (notice.leaving) {
    recordDrainingResponse(context, server);
  }
  const known = context.state.servers.get(server);
  if (known !== undefined) {
    handleBackOffRequest(context, known, notice.rest);
  }
}

function handleBackOffRequest(context: RouterContext, known: KnownServer, backOff: BackOffReading): void {
  const { counters, serviceProfiles } = context.state;
  const { id, service } = known.server;
  if (backOff === null) {
    return;
  }
  if (typeof backOff === 'number') {
    counters.rest_requests += 1;
    startBackOff(context, known, backOff);
    return;
  }
  counters.malformed_rest_requests += 1;
  const profile = serviceProfiles.get(service);
  if (profile?.loggedUnreadableBackoff === false) {
    profile.loggedUnreadableBackoff = true;
    const found = backOff.unreadable.slice(0, MAX_LOGGED_CHARACTERS);
    context.log('malformed_rest_request', { server: id, service, found }, 'warn');
  }
}

function startBackOff(context: RouterContext, known: KnownServer, backOff: Milliseconds): void {
  const { state, now } = context;
  const { id, service } = known.server;
  if (known.backOff.extend(backOff, now)) {
    context.log('server_asks_rest', { server: id, service, milliseconds: Math.round(backOff) });
  }
  withdrawUnsentRequests(context, known);
  if (state.configuration?.services.get(service)?.keyed === true && backOff >= MIN_BACK_OFF_TO_MOVE_KEYS) {
    state.tree.rests.push({ server: id, daemon: state.identity.daemon, left: backOff });
    reportOverload(context);
  }
}

/** Withdraws requests whose connection isn't established yet: all of them would reach the server during its back-off. */
function withdrawUnsentRequests(context: RouterContext, { load }: KnownServer): void {
  for (const requestId of load.inFlight.keys()) {
    const attempt = context.state.requests.get(requestId)?.attemptNumber;
    if (attempt !== undefined) {
      context.emit({ kind: 'withdraw', requestId, attempt });
    }
  }
}
