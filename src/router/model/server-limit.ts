/** The limit that a server in need names in its answers: what it takes from all daemons together. */

export type RequestsPerSecond = number;

/** A limit that can't be read. */
export interface UnreadableLimit {
  readonly unreadable: string;
}

/** What an answer says of a limit: nothing, something that can't be read, or a limit. */
export type LimitReading = RequestsPerSecond | UnreadableLimit | null;
