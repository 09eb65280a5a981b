/** Reads a response to an attempt: whether it belongs to the request, what it says of its sender, and how the attempt ended. */
import type { AttemptResult } from '../router/events.js';

/** Why a response can't be used. */
export interface UnusableResponse {
  readonly reason: string;
  /** The attempt id that the response names instead of the request's; null: it names none. Absent: the id is not the reason. */
  readonly foreignAttemptId?: string | null;
}

export interface ResponseReader {
  /** The headers to pass on to the caller. */
  readonly rawHeaders: string[];
  /**
   * Reads the final head of the response. Returns why the response can't be used, or null.
   *
   * @param isFirstOnConnection whether the connection has carried no earlier request
   */
  readHead(status: number, rawHeaders: string[], isFirstOnConnection: boolean): UnusableResponse | null;
  /** Whether the response goes to the caller. The body of any other one is discarded. */
  isForCaller(): boolean;
  readTrailers(rawTrailers: readonly string[]): void;
  /** Returns whether only the end of the connection marks the end of the response. */
  isDelimitedByClose(): boolean;
  /** Returns whether the response, if it is a server's, stated its length or marked its end. */
  hasLength(): boolean;
  /** Returns the result of an attempt whose response is complete. */
  classify(): AttemptResult;
  /** Returns the result of an attempt whose response is streamed to the caller. */
  streamedResult(): AttemptResult;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns whether a response has a body whose end only the end of its connection marks. */
export function endsWithConnection(
  method: string,
  status: number,
  header: (name: string) => string | null,
): boolean {
  return (
    method !== 'HEAD' &&
    !BODILESS_STATUSES.has(status) &&
    header('content-length') === null &&
    header('transfer-encoding') === null
  );
}
