/**
 * HTTP headers of the project's own. Those towards servers are stripped from callers' requests, so that
 * no caller can forge them.
 */

/** Prefix of every header of the project. */
export const HEADER_PREFIX = 'fennelferry-';
/** Towards a server: the group of the fencing token. */
export const GROUP_HEADER = 'fennelferry-group';
/** Towards a server: the unit of the fencing token. */
export const UNIT_HEADER = 'fennelferry-unit';
/** Towards a server: the epoch of the fencing token. */
export const EPOCH_HEADER = 'fennelferry-epoch';
/** Towards a server: milliseconds that are left for the request. */
export const DEADLINE_HEADER = 'fennelferry-deadline-milliseconds';
/** From a server: the request was not run, and why. */
export const REFUSAL_HEADER = 'fennelferry-refused';
/** Towards callers: `answered`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'fennelferry-outcome';

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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
