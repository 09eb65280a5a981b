/**
 * The project's own HTTP headers. Headers that are sent to servers are removed from callers' requests, so that no caller can
 * forge them.
 */

/** Prefix of all headers of the project. */
export const HEADER_PREFIX = 'fennelferry-';
/** Request header to servers: the group of the fencing token. */
export const GROUP_HEADER = 'fennelferry-group';
/** Request header to servers: the unit of the fencing token. */
export const UNIT_HEADER = 'fennelferry-unit';
/** Request header to servers: the epoch of the fencing token. */
export const EPOCH_HEADER = 'fennelferry-epoch';
/** Request header to servers: milliseconds left until the deadline of the request. */
export const DEADLINE_HEADER = 'fennelferry-deadline-milliseconds';
/** Response header from servers: the reason why the request was not run. */
export const REFUSAL_HEADER = 'fennelferry-refused';
/** Response header to callers: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'fennelferry-outcome';

/** Hop-by-hop headers, which apply to a single connection and are not forwarded (RFC 9110, section 7.6.1). */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
