/** Tells what the HTTP client refuses to send from what it could not send. */

/** Error codes of requests that the HTTP client refuses before it writes any of them, whatever the server. */
const REFUSED_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

/** Returns whether an error says that the HTTP client does not send such a request to any server. */
export function isRefusedByClient({ code }: NodeJS.ErrnoException): boolean {
  return code !== undefined && REFUSED_CODES.has(code);
}
