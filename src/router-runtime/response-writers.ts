/** Writes responses to callers, and to daemons that have sent a request here for a caller of theirs. */
import type { AnswerEffect } from '../router/effects.js';
import { forwardedHeaders, headerValue } from './headers.js';
import { outcomeHeader, type ProxyOutcome } from './proxy-headers.js';
import type { ResponseSink } from './response-sink.js';
import type { RequestSlot } from './request-slot.js';
import { hasBody } from './response-reader.js';
import { StreamedAnswer } from './streamed-answer.js';

const MILLISECONDS_PER_SECOND = 1_000;
const NO_CONTENT = 204;
const ANSWERED: ProxyOutcome = { kind: 'answered', hasLength: true };
const NO_HEADERS: ReadonlySet<string> = new Set();

/** An answer of the daemon's own. */
export type OwnAnswer = Pick<
  AnswerEffect,
  'status' | 'reason' | 'retryAfter' | 'execution' | 'attempts' | 'isPathLost'
>;

export interface ResponseWriter {
  /** Where a server's response goes. */
  readonly sink: ResponseSink;
  /** Sends an answer of the daemon's own, unless a response has begun. */
  answer(answer: OwnAnswer): void;
}

/** Sends the whole body, which counts as held until the caller's connection has taken it. */
function endWith({ outgoing, buffer }: RequestSlot, body: Buffer): void {
  buffer.hold(body.length);
  outgoing.end(body, () => buffer.release(body.length));
}

/** What an answer says of its length. */
interface StatedLength {
  /** The end of the answer is stated or marked; otherwise only the end of the caller's connection shows it. */
  readonly isKnown: boolean;
  readonly headers: readonly string[];
}

const UNKNOWN_LENGTH: StatedLength = { isKnown: false, headers: [] };
const IN_CHUNKS: StatedLength = { isKnown: true, headers: [] };

function lengthOf(bytes: number | string): StatedLength {
  return { isKnown: true, headers: ['Content-Length', String(bytes)] };
}

/**
 * What a complete answer says of its length. Without a body, the server's header describes the body of another answer; with status 204
 * there is no such answer (RFC 9110, section 8.6).
 */
function completeLength(
  { outgoing }: RequestSlot,
  status: number,
  raw: string[],
  body: Buffer,
): StatedLength {
  // RFC 9110, section 8.6, calls for no length with 204, but clients that look for the end of each answer rely on one.
  if (hasBody(outgoing.req.method ?? '', status) || status === NO_CONTENT) {
    return lengthOf(body.length);
  }
  const stated = headerValue(raw, 'content-length');
  return stated === null ? { isKnown: true, headers: [] } : lengthOf(stated);
}

/**
 * What a long answer says of its length. Without one it goes out in chunks, also if only the end of the server's connection marks its end:
 * the last chunk is sent once that end is known to be orderly, and whatever ends this process meanwhile leaves the answer visibly incomplete.
 * Callers of HTTP/1.0 know no chunks.
 */
function streamedLength({ outgoing }: RequestSlot, raw: string[]): StatedLength {
  const stated = headerValue(raw, 'content-length');
  if (stated !== null) {
    return lengthOf(Number(stated));
  }
  return outgoing.useChunkedEncodingByDefault ? IN_CHUNKS : UNKNOWN_LENGTH;
}

function createSink(
  slot: RequestSlot,
  writeHead: (status: number, rawHeaders: string[], length: StatedLength) => void,
): ResponseSink {
  let streamed: StreamedAnswer | null = null;
  return {
    hold: (bytes) => slot.buffer.hold(bytes),
    release: (bytes) => slot.buffer.release(bytes),
    sendComplete: (status, rawHeaders, body) => {
      writeHead(status, rawHeaders, completeLength(slot, status, rawHeaders, body));
      endWith(slot, body);
    },
    beginStream: ({ status, rawHeaders }, body, onDrain) => {
      writeHead(status, rawHeaders, streamedLength(slot, rawHeaders));
      streamed = new StreamedAnswer(slot, onDrain);
      return streamed.begin(body);
    },
    more: (chunk) => streamed?.write(chunk) ?? true,
    endStream: () => streamed?.end(),
    abortStream: () => streamed?.abort(),
  };
}

function ownBody({ status, reason }: OwnAnswer): Buffer {
  return Buffer.from(`${JSON.stringify({ status, reason })}\n`);
}

/**
 * Returns the writer for a caller.
 *
 * @param isClosing whether the connection is closed after the response, so that the caller connects to another daemon
 */
export function createCallerWriter(slot: RequestSlot, isClosing: () => boolean): ResponseWriter {
  const { outgoing, connection } = slot;
  const settleClosing = (): void => {
    outgoing.shouldKeepAlive &&= !connection.closesWith(slot, isClosing());
    if (!outgoing.shouldKeepAlive) {
      connection.closeAfter(slot);
    }
  };
  const writeHead = (status: number, rawHeaders: string[], length: StatedLength): void => {
    const headers = [...forwardedHeaders(rawHeaders, NO_HEADERS), ...length.headers];
    if (!length.isKnown) {
      outgoing.useChunkedEncodingByDefault = false;
      outgoing.shouldKeepAlive = false;
    }
    // Lenient clients take the end of the connection for the end of chunks as well.
    slot.endsWithConnection = !length.isKnown || length === IN_CHUNKS;
    settleClosing();
    outgoing.writeHead(status, headers);
  };
  const answer = (own: OwnAnswer): void => {
    if (outgoing.headersSent || outgoing.destroyed) {
      return;
    }
    const body = ownBody(own);
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (own.retryAfter !== null) {
      headers.push('Retry-After', (own.retryAfter / MILLISECONDS_PER_SECOND).toFixed(3));
    }
    settleClosing();
    outgoing.writeHead(own.status, headers);
    endWith(slot, body);
  };
  return { sink: createSink(slot, writeHead), answer };
}

/** Returns the writer for a daemon that has sent a request here. The end of each response is marked. */
export function createProxyWriter(slot: RequestSlot): ResponseWriter {
  const { outgoing } = slot;
  // The header is the server's business.
  outgoing.sendDate = false;
  const writeHead = (status: number, rawHeaders: string[], length: StatedLength): void => {
    const passedOn = forwardedHeaders(rawHeaders, NO_HEADERS);
    outgoing.writeHead(status, [...outcomeHeader(ANSWERED), ...passedOn, ...length.headers]);
  };
  const answer = (own: OwnAnswer): void => {
    if (outgoing.headersSent || outgoing.destroyed) {
      return;
    }
    const { reason, retryAfter, attempts, isPathLost, execution } = own;
    const outcome: ProxyOutcome = execution.mayHaveRun
      ? { kind: 'failed', reason }
      : { kind: 'refused', reason, retryAfter, attempts, isPathLost, proofs: [...execution.proofs] };
    const body = ownBody(own);
    outgoing.writeHead(own.status, [...outcomeHeader(outcome), 'Content-Length', String(body.length)]);
    endWith(slot, body);
  };
  return { sink: createSink(slot, writeHead), answer };
}
