/** What a server says of itself in an answer, beside its load: that it leaves, or that it wants rest from this daemon. */
import type { Milliseconds } from './identifiers.js';

/** A time of rest that can't be read. */
export interface UnreadableRest {
  readonly unreadable: string;
}
/** Nothing, something that can't be read, or for how long the server wants no request from this daemon. */
export type RestReading = Milliseconds | UnreadableRest | null;

/** Kept by whoever got the answer; an answer that says nothing of the kind has no notice. */
export interface ServerNotice {
  /** The server leaves: it wants no new work after a short time. */
  readonly leaving: boolean;
  readonly rest: RestReading;
}
