/**
 * The headers by which two daemons describe a request that one sends to servers for the other, and its outcome. They are only read at
 * the address for other daemons, which callers can't reach: a caller that sends such a header means nothing by it.
 */
import * as z from 'zod';
import type { RequestOrigin } from '../router/proxying/request-origin.js';

/** Describes the request; the last header of this name counts, since the daemon adds it after those of the caller. */
export const ORIGIN_HEADER = 'fennelferry-proxy-origin';
/** Describes the outcome; the first header of this name counts, since the daemon puts it before those of the server. */
export const OUTCOME_HEADER = 'fennelferry-proxy-outcome';

const originSchema = z.object({
  daemon: z.string(),
  service: z.string(),
  attempts: z.number().int().min(0),
  age: z.number().min(0),
});

const outcomeSchema = z.discriminatedUnion('kind', [
  /** The response is a server's. Daemons of earlier versions read `hasLength`: whether the end of the response is marked. */
  z.object({ kind: z.literal('answered'), hasLength: z.boolean() }),
  z.object({
    kind: z.literal('refused'),
    reason: z.string(),
    retryAfter: z.number().nullable(),
    attempts: z.number(),
    isPathLost: z.boolean(),
    /** Why each attempt of the proxy has not run, for the log. Daemons of earlier versions don't state it. */
    proofs: z.array(z.string()).default([]),
  }),
  z.object({ kind: z.literal('failed'), reason: z.string() }),
]);

/** What became of a request at the proxy. */
export type ProxyOutcome = z.infer<typeof outcomeSchema>;

function encode(value: RequestOrigin | ProxyOutcome): string {
  return encodeURIComponent(JSON.stringify(value));
}

function decode(text: string): unknown {
  try {
    return JSON.parse(decodeURIComponent(text));
  } catch {
    // Reported by the caller of the parsers below, as any other malformed value.
    return null;
  }
}

/** Returns the header of a request to a proxy, as a name and a value. */
export function originHeader(origin: RequestOrigin): [string, string] {
  return [ORIGIN_HEADER, encode(origin)];
}

/** Returns the header of a proxy's response, as a name and a value. */
export function outcomeHeader(outcome: ProxyOutcome): [string, string] {
  return [OUTCOME_HEADER, encode(outcome)];
}

function removeAt(raw: string[], index: number): string | null {
  const [, value = null] = index < 0 ? [] : raw.splice(index, 2);
  return value;
}

function indexOfName(raw: readonly string[], name: string, isLast: boolean): number {
  const indexes = raw.map((_, index) => index).filter((index) => index % 2 === 0);
  const isNamed = (index: number): boolean => (raw[index] as string).toLowerCase() === name;
  return (isLast ? indexes.findLast(isNamed) : indexes.find(isNamed)) ?? -1;
}

/** Takes the description of a request out of its raw headers. Null: there is none, or it is malformed. */
export function takeOrigin(rawHeaders: string[]): RequestOrigin | null {
  const value = removeAt(rawHeaders, indexOfName(rawHeaders, ORIGIN_HEADER, true));
  return value === null ? null : (originSchema.safeParse(decode(value)).data ?? null);
}

/** Takes the outcome out of the raw headers of a proxy's response. Null: there is none, or it is malformed. */
export function takeOutcome(rawHeaders: string[]): ProxyOutcome | null {
  const value = removeAt(rawHeaders, indexOfName(rawHeaders, OUTCOME_HEADER, false));
  return value === null ? null : (outcomeSchema.safeParse(decode(value)).data ?? null);
}
