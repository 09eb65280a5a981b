/** What a daemon sends to a newly connected daemon about servers: crashes, draining servers and limits known so far. */
import { buildLimitSnapshot } from '../limits/limit-propagation.js';
import type { PeerMessage } from '../peers/messages.js';
import { createCrashSnapshot } from '../quarantine/quarantine.js';
import type { RouterContext } from '../router-context.js';
import { createDrainingSnapshot } from './draining-updates.js';

/** Returns one message for each kind of notice of which any is known. */
export function createNoticeSnapshots(context: RouterContext): PeerMessage[] {
  const messages = [
    createCrashSnapshot(context),
    createDrainingSnapshot(context),
    buildLimitSnapshot(context),
  ];
  return messages.filter((message) => message !== null);
}
