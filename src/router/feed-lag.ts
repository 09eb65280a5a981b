/**
 * Notices that other daemons know of something newer than this one does. A watch brings news to everybody at
 * about the same time; only one that does not bring it for a while may have lost its place.
 */
import type { ComparedFeed } from './feed-lag-state.js';
import type { Milliseconds } from './model/identifiers.js';
import type { RouterContext } from './router-context.js';

/** News that others have is waited for this long before the list is read anew. */
const LAG_PATIENCE: Milliseconds = 600;

function noteFeed(context: RouterContext, feed: ComparedFeed, theirs: number, own: number): void {
  const lag = context.state.feedLags[feed];
  lag.newest = Math.max(lag.newest, theirs);
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

/** Takes in what another daemon knows. */
export function noteVersionsOf(
  context: RouterContext,
  theirs: { readonly configurationVersion: number; readonly serversRevision: number },
): void {
  const { configuration, newestServerRevision } = context.state;
  noteFeed(context, 'configuration', theirs.configurationVersion, configuration?.version ?? 0);
  noteFeed(context, 'servers', theirs.serversRevision, newestServerRevision);
}
