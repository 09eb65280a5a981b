/**
 * Detects that other daemons know newer versions of a feed than this one. Watches deliver a change to all daemons at about the
 * same time, so only a watch that stays behind for a while may have lost its position.
 */
import type { ComparedFeed } from './feed-lag-state.js';
import type { Milliseconds } from './model/identifiers.js';
import type { RouterContext } from './router-context.js';

/** How long a feed may be behind other daemons before its list is read again. */
const LAG_PATIENCE: Milliseconds = 600;

function noteFeed(context: RouterContext, feed: ComparedFeed, reported: number, own: number): void {
  const lag = context.state.feedLags[feed];
  lag.newest = Math.max(lag.newest, reported);
  if (own >= lag.newest) {
    lag.since = null;
    return;
  }
  lag.since ??= context.now;
  if (context.now - lag.since >= LAG_PATIENCE && lag.refreshedFor < lag.newest) {
    lag.refreshedFor = lag.newest;
    context.log('feed_behind', { feed, own, newest: lag.newest });
    context.emit({ kind: 'refreshFeed', feed });
  }
}

/** Compares the feed versions of another daemon with this daemon's own. */
export function noteVersionsOf(
  context: RouterContext,
  reported: { readonly configurationVersion: number; readonly serversRevision: number },
): void {
  const { configuration, newestServerRevision } = context.state;
  noteFeed(context, 'configuration', reported.configurationVersion, configuration?.version ?? 0);
  noteFeed(context, 'servers', reported.serversRevision, newestServerRevision);
}
