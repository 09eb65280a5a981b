/** State for detecting that a daemon's feeds are behind those of other daemons. */
import type { FeedName, Milliseconds } from './model/identifiers.js';

/** The feeds whose versions daemons report to each other. */
export type ComparedFeed = Exclude<FeedName, 'evacuations'>;

/** How far one feed is behind the versions that other daemons report. */
export interface FeedLag {
  /** The newest version or revision that another daemon has reported. */
  newest: number;
  /** Since when this daemon has been behind `newest`; null: it is not behind. */
  behindSince: Milliseconds | null;
  /** The version or revision for which the list was last read again. */
  lastRefreshedFor: number;
}

/** Creates the lag of a daemon that has received no reports. */
export function createFeedLag(): FeedLag {
  return { newest: 0, behindSince: null, lastRefreshedFor: 0 };
}
