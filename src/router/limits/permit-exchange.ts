/**
 * Requests permits for rate-limited servers from the leader, forwards permit requests and answers along the propagation tree, and grants
 * permits if this daemon is the leader. A leader grants only the fraction of a limit that corresponds to the daemons that report to it.
 * Thus two leaders at once, or a leader beside disconnected daemons that take equal shares, don't exceed the limit together.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RequestsPerSecond } from '../model/server-limit.js';
import type { Leadership } from '../ownership/leadership-state.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer, RouterState } from '../router-state.js';
import { countDescendants } from '../tree/tree-state.js';
import { type LimitShare, totalSendRate } from './limit-share.js';
import type { PermitAnswer, PermitAsk } from './permit-messages.js';
import { ANSWER_MARGIN, type PermitCandidate } from './permits.js';

/** Interval of test requests to a leader that left a permit request unanswered. */
const PROBE_INTERVAL: Milliseconds = 500;
/** Request id of a permit request that belongs to no request and only tests whether the leader answers again. */
const PROBE_REQUEST_ID = 0;

/** Returns the share of a server's limit that this daemon may use, or null if the server has no limit. */
export function limitShareOf(state: RouterState, server: ServerId): LimitShare | null {
  const rate = state.limits.of(server);
  return rate === null ? null : { rate, daemons: state.daemons, isLeaderGranting: isLeaderGranting(state) };
}

function isLeaderGranting({ leadership, tree, permitContact }: RouterState): boolean {
  return leadership !== null || (tree.parent !== null && !permitContact.isUnresponsive);
}

/** Requests a permit for a held request. Returns the answers for this daemon's own requests if this daemon is the leader. */
export function requestPermit(
  context: RouterContext,
  request: PermitCandidate,
  { server, permits }: KnownServer,
): PermitAnswer[] {
  const { state, now } = context;
  const wait = request.holdUntil - now - ANSWER_MARGIN;
  if (permits.isRequested(request.id) || wait < 0) {
    return [];
  }
  state.counters.permits_asked += 1;
  permits.recordRequested(request.id, wait, now);
  return answerOrForward(context, {
    kind: 'permitAsk',
    server: server.id,
    daemon: state.identity.daemon,
    requestId: request.id,
    priority: request.priority,
    wait,
    path: [],
  });
}

/**
 * Handles a permit request as the leader, or forwards it to the parent. Returns the answers for this daemon's own requests, which may include
 * others that were queued.
 */
function answerOrForward(context: RouterContext, ask: PermitAsk): PermitAnswer[] {
  const { leadership } = context.state;
  if (leadership !== null) {
    const rate = permitGrantRate(context, ask.server);
    return forwardPermitAnswers(context, leadership.permitBuckets.requestPermit(ask, rate, context.now));
  }
  context.emit({ kind: 'sendToParent', message: ask });
  return [];
}

/** Handles a permit request from a descendant. Returns the answers for this daemon's own requests. */
export function receivePermitAsk(context: RouterContext, link: number, ask: PermitAsk): PermitAnswer[] {
  return answerOrForward(context, { ...ask, path: [...ask.path, link] });
}

/** Forwards permit answers to the children on their paths. Returns those for this daemon. */
export function forwardPermitAnswers(
  context: RouterContext,
  answers: readonly PermitAnswer[],
): PermitAnswer[] {
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

/** Records an answer to one of this daemon's permit requests. */
export function recordPermitAnswer({ state, now }: RouterContext, answer: PermitAnswer): void {
  const { server, requestId, priority, granted, nextPlaceIn } = answer;
  state.permitContact.isUnresponsive = false;
  const permits = state.servers.get(server)?.permits;
  if (requestId === PROBE_REQUEST_ID || permits === undefined) {
    return;
  }
  if (granted) {
    permits.recordGranted(requestId, now);
  } else {
    state.counters.permits_denied += 1;
    permits.recordDenied(requestId, priority, nextPlaceIn, now);
  }
}

/** Returns the rate at which this leader grants permits for a server, or null if the server has no limit. */
function permitGrantRate({ state, now }: RouterContext, server: ServerId): RequestsPerSecond | null {
  const limit = state.limits.of(server);
  const reachableFraction = Math.min(1, (1 + countDescendants(state.tree, now)) / state.daemons);
  return limit === null ? null : totalSendRate(limit) * reachableFraction;
}

/** Grants permits that have become available. Returns the answers for this daemon's own requests. */
export function tickPermitBuckets(context: RouterContext, { permitBuckets }: Leadership): PermitAnswer[] {
  return forwardPermitAnswers(
    context,
    permitBuckets.tick((server) => permitGrantRate(context, server), context.now),
  );
}

/** Detects permit requests that timed out, and tests at intervals whether the leader answers again. */
export function tickPermitServiceHealth(context: RouterContext): void {
  const { state, now } = context;
  const { permitContact } = state;
  for (const server of state.limits.servers()) {
    if (state.servers.get(server)?.permits.removeOverdue(now) === true && state.leadership === null) {
      permitContact.isUnresponsive = true;
    }
  }
  const [limitedServer] = state.limits.inForce.keys();
  if (permitContact.isUnresponsive && now >= permitContact.nextProbeAt && limitedServer !== undefined) {
    permitContact.nextProbeAt = now + PROBE_INTERVAL;
    const { daemon } = state.identity;
    const ask = {
      server: limitedServer,
      daemon,
      requestId: PROBE_REQUEST_ID,
      priority: 0,
      wait: 0,
      path: [],
    };
    answerOrForward(context, { kind: 'permitAsk', ...ask });
  }
}

/** Assumes that permits are granted again after this daemon has connected to a new parent. */
export function resetPermitServiceHealth({ state }: RouterContext): void {
  state.permitContact.isUnresponsive = false;
}

/** Discards all permits after a suspension: the leader may have granted their capacity to other daemons since. */
export function discardPermits({ state }: RouterContext): void {
  state.servers.forEach(({ permits }) => permits.clear());
}
