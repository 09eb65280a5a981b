/** What a daemon sends to a newly connected daemon about servers: crashes, draining servers and limits known so far. */
import { describeLimits } from '../limits/limit-news.js';
import type { PeerMessage } from '../peers/messages.js';
import { describeCrashes } from '../quarantine/quarantine.js';
import type { RouterContext } from '../router-context.js';
import { describeLeaving } from './leaving-news.js';

/** Returns one message for each kind of notice of which any is known. */
export function describeNotices(context: RouterContext): PeerMessage[] {
  const messages = [describeCrashes(context), describeLeaving(context), describeLimits(context)];
  return messages.filter((message) => message !== null);
}
