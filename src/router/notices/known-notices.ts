/** What a daemon tells another one to which it has just connected: what servers have said or shown of themselves so far. */
import { buildLimitSnapshot } from '../limits/limit-propagation.js';
import type { PeerMessage } from '../peers/messages.js';
import { describeCrashes } from '../quarantine/quarantine.js';
import type { RouterContext } from '../router-context.js';
import { describeLeaving } from './leaving-news.js';

/** One message for each kind of which there is something to tell. */
export function describeNotices(context: RouterContext): PeerMessage[] {
  const messages = [describeCrashes(context), describeLeaving(context), buildLimitSnapshot(context)];
  return messages.filter((message) => message !== null);
}
