/**
 * Distinguishes the crash of a server's process from a connection that merely broke. After a server's side has closed a
 * connection under a request, a refused connection, another incarnation at the address, the removal of the server's
 * entry, or no response to probes shows that the process has ended; an answer shows that it has not. A server that resets
 * connections because it is at capacity answers the next request or probe. Failed calls count only while this daemon reaches
 * other servers of the service: otherwise its path is lost.
 */
import type { AttemptResult, ControlOutcome } from '../events.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { probeServer } from '../probe-server.js';
import { requestPathCheck } from '../reachability/path-checks.js';
import { pathTo } from '../reachability/reachability-state.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from '../request/active-request.js';
import type { SuspectedCrash } from './crash-detection-state.js';
import { recordServerCrash, recordServerAlive } from './quarantine.js';

/** Delay of the first probe after a connection broke: in most cases the next request has shown by then what happened. */
const FIRST_PROBE_DELAY: Milliseconds = 120;
const PROBE_INTERVAL: Milliseconds = 400;
const PROBE_TIMEOUT: Milliseconds = 300;
/**
 * A server that closed connections and answers none of this many probes is taken for crashed. Its entry in the store would
 * show that only after 4 s, while the request must reach no more servers from 3 s after the crash on.
 */
const MAX_PROBES = 3;
/** By then the entry of a crashed server is gone: it lapses after three missed heartbeats. */
const DETECTION_TIMEOUT: Milliseconds = 10_000;

/**
 * Records that a server's side closed the connection of a request. Draining servers are ignored: their processes end as
 * planned, and no request is at fault.
 */
export function recordConnectionClosed(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
): void {
  if (known === undefined || known.drainingSince !== null) {
    return;
  }
  const { broken } = context.state.brokenConnections;
  const { server } = known;
  const entry: SuspectedCrash = broken.get(server.id) ?? {
    server,
    brokenAt: context.now,
    requests: new Set(),
    nextProbeAt: context.now + FIRST_PROBE_DELAY,
    probes: 0,
    evidence: null,
  };
  entry.requests.add(request.fingerprint);
  broken.set(server.id, entry);
}

/** Uses the result of an attempt as evidence of whether its server has crashed or is alive. */
export function recordAttemptResult(
  context: RouterContext,
  server: ServerId,
  startedAt: Milliseconds,
  result: AttemptResult,
): void {
  const hasAnswered = result.kind === 'answered' || result.kind === 'ambiguousAnswer';
  const isAnswer = hasAnswered || (result.kind === 'rejected' && !result.misdirected);
  const entry = context.state.brokenConnections.broken.get(server);
  if (result.kind === 'notSent' && result.refused && entry !== undefined) {
    recordFailedCalls(context, entry, 'connections are refused');
  } else if (isAnswer) {
    // An answer to a request sent before the connection broke doesn't show that the server is still alive.
    if (entry !== undefined && startedAt > entry.brokenAt) {
      context.state.brokenConnections.broken.delete(server);
    }
    recordServerAlive(context, server, startedAt);
  }
}

/** Records evidence from failed calls, and confirms the crash if the path to the service works. */
function recordFailedCalls(context: RouterContext, entry: SuspectedCrash, evidence: string): void {
  entry.evidence = evidence;
  confirmIfPathWorks(context, entry, evidence);
}

function confirmIfPathWorks(context: RouterContext, entry: SuspectedCrash, evidence: string): void {
  const { state } = context;
  const { service } = entry.server;
  const isOnlyServer = (state.serversByService.get(service)?.size ?? 0) <= 1;
  const { status, provenAt } = pathTo(state.reachability, service);
  if (status === 'open' && (isOnlyServer || provenAt > entry.brokenAt)) {
    confirmCrash(context, entry, evidence);
  } else {
    requestPathCheck(context, service);
  }
}

/** Returns whether the connection broke when this daemon lost its path to the service. */
function isExplainedByLostPath({ state }: RouterContext, { server, brokenAt }: SuspectedCrash): boolean {
  const { status, failedSince } = pathTo(state.reachability, server.service);
  return status === 'lost' && brokenAt >= failedSince;
}

function confirmCrash(context: RouterContext, crash: SuspectedCrash, evidence: string): void {
  context.state.brokenConnections.broken.delete(crash.server.id);
  recordServerCrash(context, crash, evidence);
}

/** Confirms crashes by a new list of servers: the entry is gone, or another incarnation has the address. */
export function confirmCrashesByServerList(context: RouterContext): void {
  const { brokenConnections, servers, serversByService } = context.state;
  for (const entry of [...brokenConnections.broken.values()]) {
    const { id, address, service } = entry.server;
    const others = serversByService.get(service)?.values() ?? [];
    if (!servers.has(id)) {
      confirmCrash(context, entry, 'the entry is gone');
    } else if ([...others].some(({ server }) => server.address === address && server.id !== id)) {
      confirmCrash(context, entry, 'another life has the address');
    }
  }
}

/** Probes servers whose connections broke and that have sent no evidence since, and drops those left undecided. */
export function tickCrashDetection(context: RouterContext): void {
  const { broken } = context.state.brokenConnections;
  for (const [id, entry] of broken) {
    if (context.now - entry.brokenAt > DETECTION_TIMEOUT || isExplainedByLostPath(context, entry)) {
      broken.delete(id);
    } else if (entry.evidence !== null) {
      confirmIfPathWorks(context, entry, entry.evidence);
    } else if (isProbeDue(context, entry)) {
      sendProbe(context, entry);
    }
  }
}

/** Whether a probe is due. A server in back-off isn't probed: it has answered, and a probe is one more request. */
function isProbeDue({ state, now }: RouterContext, entry: SuspectedCrash): boolean {
  const backOffLeft = state.servers.get(entry.server.id)?.backOff.left(now) ?? 0;
  return now >= entry.nextProbeAt && entry.probes < MAX_PROBES && backOffLeft === 0;
}

function sendProbe(context: RouterContext, entry: SuspectedCrash): void {
  entry.probes += 1;
  entry.nextProbeAt = context.now + PROBE_INTERVAL;
  context.state.brokenConnections.probes.set(
    probeServer(context, entry.server, PROBE_TIMEOUT),
    entry.server.id,
  );
}

function isUnresponsive({ kind }: ControlOutcome): boolean {
  return kind === 'unanswered' || kind === 'notSent';
}

/** Handles the outcome of a control call if it was a crash detection probe. Returns whether it was. */
export function receiveCrashProbe(context: RouterContext, callId: number, outcome: ControlOutcome): boolean {
  const { brokenConnections } = context.state;
  const server = brokenConnections.probes.get(callId);
  if (server === undefined) {
    return false;
  }
  brokenConnections.probes.delete(callId);
  const entry = brokenConnections.broken.get(server);
  if (entry === undefined) {
    return true;
  }
  if (outcome.kind === 'otherInstance') {
    confirmCrash(context, entry, 'another life answers at the address');
  } else if (outcome.kind === 'notSent' && outcome.refused) {
    recordFailedCalls(context, entry, 'connections are refused');
  } else if (outcome.kind === 'accepted') {
    brokenConnections.broken.delete(server);
  } else if (entry.probes >= MAX_PROBES && isUnresponsive(outcome)) {
    recordFailedCalls(context, entry, 'no probe is answered');
  }
  return true;
}
