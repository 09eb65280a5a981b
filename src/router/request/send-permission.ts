/**
 * The check right before a request is written to a server. Since the server was chosen, the request may have waited for a
 * connection or for the event loop; meanwhile the server may have begun to drain, or this daemon's data may have become too old
 * to tell.
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { areEvacuationsUsable, isStoreDataUsable } from '../news/store-confirmation.js';
import { maxDataAge } from '../news/store-watch-timing.js';
import type { RouterState } from '../router-state.js';

/** Returns whether a request may be written to a server now. */
export function isSendAllowed(state: RouterState, now: Milliseconds, server: ServerId): boolean {
  const { bounds, evacuations } = state;
  const known = state.servers.get(server);
  if (
    known === undefined ||
    !isStoreDataUsable(state, now, bounds.drain) ||
    !areEvacuationsUsable(state, now)
  ) {
    return false;
  }
  const isDrained = known.drainingSince !== null && now - known.drainingSince >= maxDataAge(bounds.drain);
  const evacuationAge = evacuations.age(known.server.zone, now);
  const isEvacuated = evacuationAge !== null && evacuationAge >= maxDataAge(bounds.evacuation ?? 0);
  return !isDrained && !isEvacuated;
}
