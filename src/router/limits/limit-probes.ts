/**
 * Probes limited servers that receive no requests, to find out whether their limits still hold. A server that owns few or no keys, or
 * whose work other servers take over, would send no response that shows the end of its limit, and would get no requests for a long time.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { Leadership } from '../ownership/leadership-state.js';
import { PROBE_TIMEOUT } from '../ownership/ownership-timing.js';
import { probeServer } from '../probe-server.js';
import type { RouterContext } from '../router-context.js';

/** Time without a confirmed limit, a permit or a probe after which a limited server is probed. Each probe adds a request to its load. */
const IDLE_TIME_BEFORE_PROBE: Milliseconds = 2_000;

/** Probes limited servers to which no daemon sends requests. */
export function tickLimitProbes(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  for (const [server, { at }] of state.limits.inForce) {
    const known = state.servers.get(server);
    const lastActivityAt = Math.max(at, lastPermitOrProbeAt(leadership, server));
    if (
      known !== undefined &&
      now - lastActivityAt >= IDLE_TIME_BEFORE_PROBE &&
      known.backOff.left(now) === 0
    ) {
      leadership.limitProbedAt.set(server, now);
      probeServer(context, known.server, PROBE_TIMEOUT);
    }
  }
}

function lastPermitOrProbeAt({ permitBuckets, limitProbedAt }: Leadership, server: ServerId): Milliseconds {
  return Math.max(permitBuckets.lastGrantAt(server), limitProbedAt.get(server) ?? Number.NEGATIVE_INFINITY);
}
