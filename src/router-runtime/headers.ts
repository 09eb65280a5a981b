/** Helpers for raw header lists, in which names and values alternate. */
import { HOP_BY_HOP_HEADERS } from '../wire/headers.js';

/** Headers that concern how a body is transferred on one connection. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'expect']);

/** Returns the header names that `Connection` headers list as hop-by-hop, in lower case. */
function listedInConnection(raw: readonly string[]): Set<string> {
  const hopByHop = new Set<string>();
  for (let index = 0; index < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() === 'connection') {
      for (const name of (raw[index + 1] as string).split(',')) {
        hopByHop.add(name.trim().toLowerCase());
      }
    }
  }
  return hopByHop;
}

/** Returns the end-to-end headers to forward, except those in `excluded` (lower case) and those that describe the body's transfer. */
export function forwardedHeaders(raw: readonly string[], excluded: ReadonlySet<string>): string[] {
  const hopByHop = listedInConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = (raw[index] as string).toLowerCase();
    const isDropped =
      HOP_BY_HOP_HEADERS.has(name) || FRAMING_HEADERS.has(name) || excluded.has(name) || hopByHop.has(name);
    if (!isDropped) {
      kept.push(raw[index] as string, raw[index + 1] as string);
    }
  }
  return kept;
}

/** Returns the first value of a header, whose name is given in lower case, or null. */
export function headerValue(raw: readonly string[], name: string): string | null {
  for (let index = 0; index < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() === name) {
      return raw[index + 1] as string;
    }
  }
  return null;
}

/** Returns the trimmed values of all headers called `name`, which must be in lower case. */
export function headerValues(raw: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const headerName = raw[index] as string;
    if (headerName.length === name.length && headerName.toLowerCase() === name) {
      values.push((raw[index + 1] as string).trim());
    }
  }
  return values;
}

/** Returns whether there is more than one `Host` header: RFC 9112, section 3.2, calls for 400 then. */
export function hasRepeatedHost(raw: readonly string[]): boolean {
  return headerValues(raw, 'host').length > 1;
}
