/**
 * Asks the leader for permits for servers with limits, passes such requests and their answers on along the tree, and grants permits as the leader.
 * Each leader grants only the part of the daemons that report to it: two of them, or one beside daemons that are cut off and take equal shares,
 * pass no limit together.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { Leadership } from '../ownership/leadership-state.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer, RouterState } from '../router-state.js';
import { daemonsBelow } from '../tree/tree-state.js';
import { type LimitShare, usedRate } from './limit-share.js';
import type { PermitAnswer, PermitAsk } from './permit-messages.js';
import { ANSWER_MARGIN, type PlaceSeeker } from './permits.js';

/** A leader that left an ask unanswered is asked again this often. */
const PROBE_INTERVAL: Milliseconds = 500;
/** Numbers no request: the ask only finds out whether permits are granted again. */
const PROBE_REQUEST = 0;

/** What this daemon may send to a server, or null: the server has no limit. */
export function limitShareOf(state: RouterState, server: ServerId): LimitShare | null {
  const rate = state.limits.of(server);
  return rate === null ? null : { rate, daemons: state.daemons, hasGrants: hasGrants(state) };
}

function hasGrants({ leadership, tree, permitContact }: RouterState): boolean {
  return leadership !== null || (tree.parent !== null && !permitContact.isSilent);
}

/** Asks for a permit for a request that is held. Returns what the leader answers where that is this daemon. */
export function askPermit(
  context: RouterContext,
  seeker: PlaceSeeker,
  { server, permits }: KnownServer,
): PermitAnswer[] {
  const { state, now } = context;
  const wait = seeker.holdUntil - now - ANSWER_MARGIN;
  if (permits.isAsked(seeker.id) || wait < 0) {
    return [];
  }
  state.counters.permits_asked += 1;
  permits.noteAsked(seeker.id, wait, now);
  return passOn(context, {
    kind: 'permitAsk',
    server: server.id,
    daemon: state.identity.daemon,
    requestId: seeker.id,
    priority: seeker.priority,
    wait,
    path: [],
  });
}

/** Answers it as the leader, or passes it on. Returns answers for this daemon's own requests: others that waited may be answered, too. */
function passOn(context: RouterContext, ask: PermitAsk): PermitAnswer[] {
  const { leadership } = context.state;
  if (leadership !== null) {
    const rate = refillRate(context, ask.server);
    return route(context, leadership.permitBuckets.ask(ask, rate, context.now));
  }
  context.emit({ kind: 'sendToParent', message: ask });
  return [];
}

/** A daemon below this one wants a place. Returns answers for this daemon's own requests. */
export function receivePermitAsk(context: RouterContext, link: number, ask: PermitAsk): PermitAnswer[] {
  return passOn(context, { ...ask, path: [...ask.path, link] });
}

/** Sends answers on. Returns those for this daemon. */
export function route(context: RouterContext, answers: readonly PermitAnswer[]): PermitAnswer[] {
  const own: PermitAnswer[] = [];
  for (const answer of answers) {
    const link = answer.path.at(-1);
    if (link === undefined) {
      own.push(answer);
    } else {
      const message = { ...answer, path: answer.path.slice(0, -1) };
      context.emit({ kind: 'sendToChildren', link, message });
    }
  }
  return own;
}

/** Takes in an answer for this daemon. */
export function notePermitAnswer({ state, now }: RouterContext, answer: PermitAnswer): void {
  const { server, requestId, priority, granted, nextPlaceIn } = answer;
  state.permitContact.isSilent = false;
  const permits = state.servers.get(server)?.permits;
  if (requestId === PROBE_REQUEST || permits === undefined) {
    return;
  }
  if (granted) {
    permits.noteGranted(requestId, now);
  } else {
    state.counters.permits_denied += 1;
    permits.noteDenied(requestId, priority, nextPlaceIn, now);
  }
}

/** Permits for a server that this leader grants a second; null: it has no limit. */
function refillRate({ state, now }: RouterContext, server: ServerId): RequestsPerSecond | null {
  const limit = state.limits.of(server);
  const reached = Math.min(1, (1 + daemonsBelow(state.tree, now)) / state.daemons);
  return limit === null ? null : usedRate(limit) * reached;
}

/** Grants permits that have become free. Returns answers for this daemon's own requests. */
export function tickPermitBuckets(context: RouterContext, { permitBuckets }: Leadership): PermitAnswer[] {
  return route(
    context,
    permitBuckets.tick((server) => refillRate(context, server), context.now),
  );
}

/** Notices that asks stay unanswered, and finds out when they are answered again. */
export function tickPermitContact(context: RouterContext): void {
  const { state, now } = context;
  const { permitContact: contact } = state;
  for (const server of state.limits.servers()) {
    if (state.servers.get(server)?.permits.takeOverdue(now) === true && state.leadership === null) {
      contact.isSilent = true;
    }
  }
  const [limited] = state.limits.inForce.keys();
  if (contact.isSilent && now >= contact.nextProbeAt && limited !== undefined) {
    contact.nextProbeAt = now + PROBE_INTERVAL;
    const { daemon } = state.identity;
    const ask = { server: limited, daemon, requestId: PROBE_REQUEST, priority: 0, wait: 0, path: [] };
    passOn(context, { kind: 'permitAsk', ...ask });
  }
}

/** Another parent: it may grant permits. */
export function noteNewParent({ state }: RouterContext): void {
  state.permitContact.isSilent = false;
}

/** After a suspension: permits that were granted may be another daemon's by now. */
export function dropPermits({ state }: RouterContext): void {
  state.servers.forEach(({ permits }) => permits.clear());
}
