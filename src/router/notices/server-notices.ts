/** Handles the notices about themselves that servers attach to responses. */
import type { ServerNoticedEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RestReading } from '../model/server-notice.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import { noteOverload } from '../tree/reports.js';
import { noteLeavingAnswer } from './leaving-news.js';
import { SHORTEST_MOVED_REST } from './rest-reports.js';

/** Maximum number of characters of an unreadable value in the log. */
const LONGEST_QUOTE = 60;

/** Handles a response whose server says that it is draining or asks for a back-off. */
export function receiveServerNotice(context: RouterContext, { server, notice }: ServerNoticedEvent): void {
  if (notice.leaving) {
    noteLeavingAnswer(context, server);
  }
  const known = context.state.servers.get(server);
  if (known !== undefined) {
    noteRest(context, known, notice.rest);
  }
}

function noteRest(context: RouterContext, known: KnownServer, rest: RestReading): void {
  const { counters, profiles } = context.state;
  const { id, service } = known.server;
  if (rest === null) {
    return;
  }
  if (typeof rest === 'number') {
    counters.rest_requests += 1;
    beginRest(context, known, rest);
    return;
  }
  counters.malformed_rest_requests += 1;
  const profile = profiles.get(service);
  if (profile?.saidUnreadableRest === false) {
    profile.saidUnreadableRest = true;
    const found = rest.unreadable.slice(0, LONGEST_QUOTE);
    context.log('malformed_rest_request', { server: id, service, found }, 'warn');
  }
}

function beginRest(context: RouterContext, known: KnownServer, rest: Milliseconds): void {
  const { state, now } = context;
  const { id, service } = known.server;
  if (known.rest.ask(rest, now)) {
    context.log('server_asks_rest', { server: id, service, milliseconds: Math.round(rest) });
  }
  withdrawFrom(context, known);
  if (state.configuration?.services.get(service)?.keyed === true && rest >= SHORTEST_MOVED_REST) {
    state.tree.rests.push({ server: id, daemon: state.identity.daemon, left: rest });
    noteOverload(context);
  }
}

/** Withdraws requests whose connection isn't established yet: all of them would reach the server during its back-off. */
function withdrawFrom(context: RouterContext, { load }: KnownServer): void {
  for (const requestId of load.inFlight.keys()) {
    const attempt = context.state.requests.get(requestId)?.attemptNumber;
    if (attempt !== undefined) {
      context.emit({ kind: 'withdraw', requestId, attempt });
    }
  }
}
