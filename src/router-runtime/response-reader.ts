/** Reads a response to an attempt: whether it belongs to the request, what it says of its sender, and how the attempt ended. */
import type { AttemptResult } from '../router/events.js';
import { headerValues } from './headers.js';
import type { SurplusHeadScanner } from './surplus-head-scanner.js';

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
  /** Returns whether the response has no body, so that its head is all of it. */
  endsWithHead(): boolean;
  /**
   * Returns the scanner for a body whose end only the end of the connection marks; null for others.
   *
   * @param hasCarried whether the connection has carried a request with this id
   */
  createBodyScanner(hasCarried: (attemptId: string) => boolean): SurplusHeadScanner | null;
  /** Returns the result of an attempt whose response is complete. */
  classify(): AttemptResult;
  /** Returns the result of an attempt whose response is streamed to the caller. */
  streamedResult(): AttemptResult;
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const STATUS_LINE = /HTTP\/1\.\d \d{3}/;
/** The only transfer coding whose end is marked, and the only one that the HTTP client decodes. */
const CHUNKED = 'chunked';

/** Returns whether a response has a body, whatever its headers say of one. */
export function hasBody(method: string, status: number): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}

/** Returns whether a response has a body whose end only the end of its connection marks. */
export function endsWithConnection(
  method: string,
  status: number,
  header: (name: string) => string | null,
): boolean {
  return hasBody(method, status) && header('content-length') === null && header('transfer-encoding') === null;
}

/** Returns why the body of a response can't be told apart from its framing, or null. */
export function framingProblem(rawHeaders: readonly string[]): UnusableResponse | null {
  const codings = headerValues(rawHeaders, 'transfer-encoding');
  const isKnown = codings.length === 0 || codings.join().toLowerCase() === CHUNKED;
  return isKnown ? null : { reason: `an answer with the transfer coding "${codings.join(', ')}"` };
}

/** Returns why a head can't be used that contains another one: its sender has broken it off and gone on with the next. */
export function containedHead(statusText: string, rawHeaders: readonly string[]): UnusableResponse | null {
  const isContained = STATUS_LINE.test(statusText) || rawHeaders.some((part) => STATUS_LINE.test(part));
  return isContained ? { reason: 'an answer whose head contains another one' } : null;
}
