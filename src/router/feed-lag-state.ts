/** How far the feeds of a daemon are behind what other daemons know. */
import type { FeedName, Milliseconds } from './model/identifiers.js';

/** The feeds of which daemons tell each other how far they know them. */
export type ComparedFeed = Exclude<FeedName, 'evacuations'>;

/** How far one feed is behind what other daemons know. */
export interface FeedLag {
  /** The newest version or revision that another daemon has told of. */
  newest: number;
  /** Since when this daemon has been behind it, or null. */
  since: Milliseconds | null;
  /** The list was read anew for this one already. */
  refreshedFor: number;
}

/** The lag of a daemon that has heard of nothing. */
export function createFeedLag(): FeedLag {
  return { newest: 0, since: null, refreshedFor: 0 };
}
