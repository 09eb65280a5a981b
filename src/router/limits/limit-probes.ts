/**
 * Finds out whether a limit still holds at servers that get nothing: with few or no keys, or others to take its work, no answer would tell of its
 * end, and it would get nothing for long.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { Leadership } from '../ownership/leadership-state.js';
import { PROBE_PATIENCE } from '../ownership/ownership-timing.js';
import { probeServer } from '../probe-server.js';
import type { RouterContext } from '../router-context.js';

/** A limited server of which nothing has been heard for this long is probed: a probe is one more request for it. */
const QUIET: Milliseconds = 2_000;

/** Probes servers with limits that nobody sends to. */
export function tickLimitProbes(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  for (const [server, { at }] of state.limits.inForce) {
    const known = state.servers.get(server);
    const heardAt = Math.max(at, lastSentAt(leadership, server));
    if (known !== undefined && now - heardAt >= QUIET && known.rest.left(now) === 0) {
      leadership.limitProbedAt.set(server, now);
      probeServer(context, known.server, PROBE_PATIENCE);
    }
  }
}

function lastSentAt({ permitBuckets, limitProbedAt }: Leadership, server: ServerId): Milliseconds {
  return Math.max(permitBuckets.lastGrantAt(server), limitProbedAt.get(server) ?? Number.NEGATIVE_INFINITY);
}
