/** Raw header lists: name, value, name, value. */
import { HOP_BY_HOP_HEADERS } from '../wire/headers.js';

/** Headers that describe the length of a body on one connection. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'expect']);

/** The names that a `Connection` header takes with it, in lower case. */
function namedByConnection(raw: readonly string[]): Set<string> {
  const named = new Set<string>();
  for (let index = 0; index < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() === 'connection') {
      for (const name of (raw[index + 1] as string).split(',')) {
        named.add(name.trim().toLowerCase());
      }
    }
  }
  return named;
}

/** The headers that go on to the next connection, without some. */
export function forwardedHeaders(raw: readonly string[], without: ReadonlySet<string>): string[] {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = (raw[index] as string).toLowerCase();
    const dropped =
      HOP_BY_HOP_HEADERS.has(name) || FRAMING_HEADERS.has(name) || without.has(name) || named.has(name);
    if (!dropped) {
      kept.push(raw[index] as string, raw[index + 1] as string);
    }
  }
  return kept;
}

/** The first value of a header, or null. */
export function headerValue(raw: readonly string[], name: string): string | null {
  for (let index = 0; index < raw.length; index += 2) {
    if ((raw[index] as string).toLowerCase() === name) {
      return raw[index + 1] as string;
    }
  }
  return null;
}
