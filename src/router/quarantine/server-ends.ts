/**
 * Tells the end of a server's process from a connection that merely broke. When a server's side ends a connection under a request,
 * what follows decides: a refused connection, another life at the address, the entry's end, or silence say that the process has
 * ended; an answer says that it has not. Whoever resets connections because it is full answers the next request or probe.
 */
import type { AttemptResult, ControlOutcome } from '../events.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { probeServer } from '../probe-server.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ActiveRequest } from '../request/active-request.js';
import type { BrokenConnection } from './broken-connections.js';
import { noteCrash, noteServerAlive } from './quarantine.js';

/** A probe follows a broken connection this late: most often the next request has shown by then what happened. */
const FIRST_PROBE: Milliseconds = 120;
const PROBE_INTERVAL: Milliseconds = 400;
const PROBE_PATIENCE: Milliseconds = 300;
/**
 * A server that ended connections and answers none of so many probes has ended: its entry would tell 4 s after, and the request must reach no
 * more servers 3 s after.
 */
const MOST_PROBES = 3;
/** The entry of a server that has crashed is gone by then: it lapses after three missed heartbeats. */
const DECISION_TIME: Milliseconds = 10_000;

/** A server's side ended the connection of a request. One that leaves as planned ends as well, and nobody is to blame. */
export function noteConnectionEnded(
  context: RouterContext,
  request: ActiveRequest,
  known: KnownServer | undefined,
): void {
  if (known === undefined || known.drainingSince !== null) {
    return;
  }
  const { broken } = context.state.serverEnds;
  const { server } = known;
  const entry = broken.get(server.id) ?? {
    server,
    brokenAt: context.now,
    requests: new Set(),
    nextProbeAt: context.now + FIRST_PROBE,
    probes: 0,
  };
  entry.requests.add(request.fingerprint);
  broken.set(server.id, entry);
}

/** An attempt ended: what does that say of its server? */
export function noteAttemptAt(
  context: RouterContext,
  server: ServerId,
  startedAt: Milliseconds,
  result: AttemptResult,
): void {
  const isAnswer = result.kind === 'answered' || (result.kind === 'rejected' && !result.misdirected);
  const entry = context.state.serverEnds.broken.get(server);
  if (result.kind === 'notSent' && result.refused && entry !== undefined) {
    decide(context, entry, 'connections are refused');
  } else if (isAnswer) {
    // An answer that was on its way when the connection broke says nothing of what came after.
    if (entry !== undefined && startedAt > entry.brokenAt) {
      context.state.serverEnds.broken.delete(server);
    }
    noteServerAlive(context, server, startedAt);
  }
}

function decide(context: RouterContext, broken: BrokenConnection, evidence: string): void {
  context.state.serverEnds.broken.delete(broken.server.id);
  noteCrash(context, broken, evidence);
}

/** The list of servers changed: entries that are gone, or addresses that other lives have, decide. */
export function noteListedServers(context: RouterContext): void {
  const { serverEnds, servers, serversByService } = context.state;
  for (const entry of [...serverEnds.broken.values()]) {
    const { id, address, service } = entry.server;
    const others = serversByService.get(service)?.values() ?? [];
    if (!servers.has(id)) {
      decide(context, entry, 'the entry is gone');
    } else if ([...others].some(({ server }) => server.address === address && server.id !== id)) {
      decide(context, entry, 'another life has the address');
    }
  }
}

/** Probes servers whose connections broke and of which nothing has been heard since. */
export function tickServerEnds(context: RouterContext): void {
  const { broken } = context.state.serverEnds;
  for (const [id, entry] of broken) {
    if (context.now - entry.brokenAt > DECISION_TIME) {
      broken.delete(id);
    } else if (isProbeDue(context, entry)) {
      probe(context, entry);
    }
  }
}

/** A server that wants rest isn't probed: it has answered, and a probe is one more request. */
function isProbeDue({ state, now }: RouterContext, entry: BrokenConnection): boolean {
  const rest = state.servers.get(entry.server.id)?.rest.left(now) ?? 0;
  return now >= entry.nextProbeAt && entry.probes < MOST_PROBES && rest === 0;
}

function probe(context: RouterContext, entry: BrokenConnection): void {
  entry.probes += 1;
  entry.nextProbeAt = context.now + PROBE_INTERVAL;
  context.state.serverEnds.probes.set(probeServer(context, entry.server, PROBE_PATIENCE), entry.server.id);
}

function isSilence({ kind }: ControlOutcome): boolean {
  return kind === 'unanswered' || kind === 'notSent';
}

/** Whether a call that ended was a probe of this module; takes its outcome in. */
export function receiveEndProbe(context: RouterContext, callId: number, outcome: ControlOutcome): boolean {
  const { serverEnds } = context.state;
  const server = serverEnds.probes.get(callId);
  if (server === undefined) {
    return false;
  }
  serverEnds.probes.delete(callId);
  const entry = serverEnds.broken.get(server);
  if (entry === undefined) {
    return true;
  }
  if (outcome.kind === 'otherInstance') {
    decide(context, entry, 'another life answers at the address');
  } else if (outcome.kind === 'notSent' && outcome.refused) {
    decide(context, entry, 'connections are refused');
  } else if (outcome.kind === 'accepted') {
    serverEnds.broken.delete(server);
  } else if (entry.probes >= MOST_PROBES && isSilence(outcome)) {
    decide(context, entry, 'no probe is answered');
  }
  return true;
}
