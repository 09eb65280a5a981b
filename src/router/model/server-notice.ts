/** Announcements in a server's response other than its load: that it is draining, or that it requests a back-off. */
import type { Milliseconds } from './identifiers.js';

/** A requested back-off that cannot be parsed. */
export interface UnreadableBackOff {
  readonly unreadable: string;
}
/** How long a server wants no requests from the daemon that gets the response; null: the response requests no back-off. */
export type BackOffReading = Milliseconds | UnreadableBackOff | null;

/** The announcements in one response. A response without any has no notice. */
export interface ServerNotice {
  /** Whether the server is draining: after a short time it wants no new work. */
  readonly leaving: boolean;
  /** The requested back-off from this daemon. */
  readonly rest: BackOffReading;
}
