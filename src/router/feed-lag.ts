/**
 * Detects that other daemons know newer versions of a feed than this one. Watches deliver a change to all daemons at about the
 * same time, so only a watch that stays behind for a while may have lost its position.
 */
import type { ComparedFeed } from './feed-lag-state.js';
import type { Milliseconds } from './model/identifiers.js';
import type { RouterContext } from './router-context.js';

/** How long a feed may be behind other daemons before its list is read again. */
const FEED_LAG_TOLERANCE: Milliseconds = 600;

function updateFeedLag(context: RouterContext, feed: ComparedFeed, reported: number, own: number): void {
  const lag = context.state.feedLags[feed];
  lag.newest = Math.max(lag.newest, reported);
  if (own >= lag.newest) {
    lag.behindSince = null;
    return;
  }
  lag.behindSince ??= context.now;
  if (context.now - lag.behindSince >= FEED_LAG_TOLERANCE && lag.lastRefreshedFor < lag.newest) {
    lag.lastRefreshedFor = lag.newest;
    context.log('feed_behind', { feed, own, newest: lag.newest });
    context.emit({ kind: 'refreshFeed', feed });
  }
}

/** Compares the feed versions of another daemon with this daemon's own. */
export function comparePeerVersions(
  context: RouterContext,
  reported: { readonly configurationVersion: number; readonly serversRevision: number },
): void {
  const { configuration, newestServerRevision } = context.state;
  updateFeedLag(context, 'configuration', reported.configurationVersion, configuration?.version ?? 0);
  updateFeedLag(context, 'servers', reported.serversRevision, newestServerRevision);
}
