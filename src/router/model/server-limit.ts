/** The rate limit that a strained server announces in its responses: the requests a second of all daemons together. */

export type RequestsPerSecond = number;

/** A rate limit that cannot be parsed. */
export interface UnreadableLimit {
  readonly unreadable: string;
}

/** The rate limit that a response states; null: the response states none. */
export type LimitReading = RequestsPerSecond | UnreadableLimit | null;
