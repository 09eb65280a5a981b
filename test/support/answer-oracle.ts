/** What the bytes that a server has sent mean by RFC 9112, told apart from the product's own parser. */
import { type Ending, readChunks } from './cut-answers.js';

export interface WholeAnswer {
  readonly status: number;
  readonly body: string;
}

const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const FIRST_NON_SUCCESS_STATUS = 300;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

interface Head {
  readonly status: number;
  /** Values by name in lower case. */
  readonly headers: ReadonlyMap<string, readonly string[]>;
  readonly rest: string;
}

function readHead(text: string): Head | null {
  const start = text.replace(/^[\r\n]+/, '');
  const end = start.indexOf('\r\n\r\n');
  const status = /^[A-Z]+\/\d\.\d (\d{3})(?:[ \r])/.exec(start)?.[1];
  if (end < 0 || status === undefined) {
    return null;
  }
  const headers = new Map<string, string[]>();
  for (const line of start.slice(0, end).split('\r\n').slice(1)) {
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    headers.set(name, [...(headers.get(name) ?? []), line.slice(colon + 1).trim()]);
  }
  return { status: Number(status), headers, rest: start.slice(end + 4) };
}

function readBody({ status, headers, rest }: Head, ending: Ending): string | null {
  if (BODILESS_STATUSES.has(status)) {
    return '';
  }
  const codings = headers.get('transfer-encoding');
  const lengths = headers.get('content-length');
  if (codings !== undefined) {
    const isChunked = codings.join().toLowerCase() === 'chunked' && lengths === undefined;
    return isChunked ? readChunks(rest) : null;
  }
  if (lengths !== undefined) {
    const [length = ''] = lengths;
    const isValid = new Set(lengths).size === 1 && /^\d+$/.test(length);
    return isValid && rest.length >= Number(length) ? rest.slice(0, Number(length)) : null;
  }
  return ending === 'reset' ? null : rest;
}

/** Whether a head names the request; a failure on a new connection may name none. */
function isOwn({ status, headers }: Head, id: string): boolean {
  const named = headers.get('fennelferry-attempt-id')?.[0];
  return named === id || (named === undefined && status >= FIRST_NON_SUCCESS_STATUS);
}

/** Returns the whole answer to a GET request with the given id that the bytes contain; null: they contain none. */
export function wholeAnswerIn(bytes: string, ending: Ending, id: string): WholeAnswer | null {
  let head = readHead(bytes);
  while (head !== null && head.status < FIRST_FINAL_STATUS && head.status !== SWITCHING_PROTOCOLS) {
    head = readHead(head.rest);
  }
  if (head === null || head.status < FIRST_FINAL_STATUS || !isOwn(head, id)) {
    return null;
  }
  const body = readBody(head, ending);
  return body === null || !head.headers.has('fennelferry-server-seal') ? null : { status: head.status, body };
}
