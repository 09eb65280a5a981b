/** How many slots a server counts with. An entry in the server list may state any number, so a server that has never answered counts with few. */
import type { ServerContact } from '../reachability/server-contact.js';

/** Slots of a server that has never answered this daemon, at most. */
const MAX_UNHEARD_SLOTS = 4;

/** A server as far as its slots are concerned. */
export interface ServerWithSlots {
  readonly server: { readonly slots: number };
  readonly contact: Pick<ServerContact, 'wasHeard'>;
}

/** Returns the number of requests that a server is assumed to process at once. */
export function countedSlots({ server, contact }: ServerWithSlots): number {
  return contact.wasHeard ? server.slots : Math.min(server.slots, MAX_UNHEARD_SLOTS);
}
