/**
 * Connects callers' HTTP requests to the reducer: reports requests as events, performs `forward`, `answer`
 * and `cancel`, and streams responses with backpressure. A truncated response closes the caller's connection.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { Dispatcher } from 'undici';
import { HOP_HEADER } from '../core/request/request-reducer.js';
import type { AnswerEffect, CancelEffect, ForwardEffect } from '../core/effects.js';
import type { AttemptResult, DaemonEvent } from '../core/events.js';
import {
  DEADLINE_HEADER,
  EPOCH_HEADER,
  GROUP_HEADER,
  HEADER_PREFIX,
  HOP_BY_HOP_HEADERS,
  OUTCOME_HEADER,
  REFUSAL_HEADER,
  UNIT_HEADER,
} from '../wire/headers.js';
import type { ServerClient } from './server-client.js';

/** A request body up to this size is buffered, so that a retry can send it again. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

interface Exchange {
  readonly id: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer | null;
  /** Cancels the attempt in flight. */
  abort: AbortController;
}

/** Passes an event to the reducer. */
export type Dispatch = (event: DaemonEvent) => void;

/** The callers' requests in flight in this process. */
export class RequestBridge {
  readonly #exchanges = new Map<number, Exchange>();
  readonly #dispatch: Dispatch;
  readonly #client: ServerClient;
  readonly #now: () => number;
  /** Whether the daemon is stopping: each caller's connection then closes after its next response. */
  closing = false;
  #nextId = 1;

  constructor(client: ServerClient, dispatch: Dispatch, now: () => number) {
    this.#client = client;
    this.#dispatch = dispatch;
    this.#now = now;
  }

  /** The number of requests whose final response is not yet complete. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Receives a caller's request. Rejects a body with a declared length above `maxBodyBytes`. */
  async receive(request: IncomingMessage, response: ServerResponse, maxBodyBytes: number): Promise<void> {
    // A caller may disconnect while nothing reads its body. An error event without a listener would end the
    // process.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const length = Number(request.headers['content-length'] ?? 0);
    if (length > maxBodyBytes) {
      const detail = `found ${length} bytes; allowed: at most ${maxBodyBytes}`;
      request.resume();
      writeProblem(response, 413, 'not-run', 'Body too large', detail, null);
      return;
    }
    const hasBody = length > 0 || request.headers['transfer-encoding'] !== undefined;
    const isBuffered = hasBody && length > 0 && length <= MAX_BUFFERED_BODY_BYTES;
    const body = isBuffered ? await readBody(request) : null;
    if (isBuffered && body === null) {
      return;
    }
    const id = this.#nextId;
    this.#nextId += 1;
    const exchange: Exchange = { id, request, response, body, abort: new AbortController() };
    this.#exchanges.set(id, exchange);
    response.once('close', () => this.#onClose(exchange));
    const [path, query] = splitRequestTarget(request.url ?? '/');
    this.#dispatch({
      kind: 'requestArrived',
      requestId: id,
      method: request.method ?? 'GET',
      host: (request.headers.host ?? '').split(':')[0] ?? '',
      path,
      query,
      headers: request.headers,
      replayable: !hasBody || isBuffered,
    });
  }

  /** Sends a caller a response that the daemon generates itself. */
  answer(effect: AnswerEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange === undefined) {
      return;
    }
    this.#exchanges.delete(effect.requestId);
    const { response } = exchange;
    if (response.headersSent) {
      response.destroy();
      return;
    }
    exchange.request.resume();
    response.shouldKeepAlive &&= !this.closing;
    writeProblem(
      response,
      effect.status,
      effect.outcome,
      effect.title,
      effect.detail,
      effect.retryAfterSeconds,
    );
  }

  /** Cancels the attempt of a request that is in flight. */
  cancel(effect: CancelEffect): void {
    this.#exchanges.get(effect.requestId)?.abort.abort();
  }

  /** Sends a request to an upstream server and streams the response to the caller. */
  async forward(effect: ForwardEffect): Promise<void> {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange === undefined) {
      return;
    }
    const result = await this.#attempt(exchange, effect);
    const { requestId, attempt } = effect;
    if (result.kind === 'answered' || (result.kind === 'lost' && result.answerStarted)) {
      this.#exchanges.delete(requestId);
    }
    this.#dispatch({ kind: 'attemptEnded', requestId, attempt, result });
  }

  async #attempt(exchange: Exchange, effect: ForwardEffect): Promise<AttemptResult> {
    const { request, response } = exchange;
    const abort = new AbortController();
    exchange.abort = abort;
    let answer: Dispatcher.ResponseData;
    try {
      answer = await this.#client.request(effect.address, effect.connections, {
        method: (request.method ?? 'GET') as Dispatcher.HttpMethod,
        path: request.url ?? '/',
        headers: requestHeaders(request, effect, this.#now()),
        body: exchange.body ?? (isBodyless(request) ? null : request),
        signal: abort.signal,
      });
    } catch (cause) {
      return classifyFailure(cause);
    }
    const rejection = effect.toOtherSide ? rejectionByOtherSide(answer) : rejectionByServer(answer);
    if (rejection !== null) {
      answer.body.on('error', () => undefined);
      answer.body.resume();
      return rejection;
    }
    this.#dispatch({ kind: 'answerStarted', requestId: effect.requestId, attempt: effect.attempt });
    response.shouldKeepAlive &&= !this.closing;
    response.writeHead(answer.statusCode, responseHeaders(answer));
    try {
      await pipeline(answer.body, response);
      return { kind: 'answered' };
    } catch (cause) {
      response.destroy();
      return { kind: 'lost', reason: errorMessage(cause), answerStarted: true };
    }
  }

  #onClose(exchange: Exchange): void {
    const isComplete = exchange.response.writableFinished;
    if (!isComplete && this.#exchanges.delete(exchange.id)) {
      exchange.abort.abort();
      this.#dispatch({ kind: 'callerLeft', requestId: exchange.id });
    }
  }
}

function rejectionByServer(answer: Dispatcher.ResponseData): AttemptResult | null {
  const refusal = answer.headers[REFUSAL_HEADER];
  return refusal === undefined ? null : { kind: 'refused', reason: String(refusal) };
}

/**
 * Returns the failure that the outcome header of another side's daemon reports, or null when the request was
 * answered.
 */
function rejectionByOtherSide(answer: Dispatcher.ResponseData): AttemptResult | null {
  switch (answer.headers[OUTCOME_HEADER]) {
    case 'answered':
      return null;
    case 'not-run':
      return { kind: 'refused', reason: 'not run by the other side' };
    default:
      return { kind: 'lost', reason: 'unknown to the other side', answerStarted: false };
  }
}

function splitRequestTarget(target: string): [string, string] {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? [target, ''] : [target.slice(0, queryStart), target.slice(queryStart + 1)];
}

function isBodyless(request: IncomingMessage): boolean {
  const length = Number(request.headers['content-length'] ?? 0);
  return length === 0 && request.headers['transfer-encoding'] === undefined;
}

async function readBody(request: IncomingMessage): Promise<Buffer | null> {
  try {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
  } catch {
    return null;
  }
}

function requestHeaders(
  request: IncomingMessage,
  effect: ForwardEffect,
  now: number,
): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    const isOmitted = HOP_BY_HOP_HEADERS.has(name) || name.startsWith(HEADER_PREFIX) || name === 'expect';
    if (!isOmitted && value !== undefined) {
      headers[name] = value;
    }
  }
  headers[DEADLINE_HEADER] = String(Math.max(0, Math.round(effect.deadlineAt - now)));
  headers[HOP_HEADER] = String(effect.hops);
  if (effect.token !== null) {
    headers[GROUP_HEADER] = effect.token.group;
    headers[UNIT_HEADER] = String(effect.token.unit);
    headers[EPOCH_HEADER] = String(effect.token.epoch);
  }
  return headers;
}

function responseHeaders(answer: Dispatcher.ResponseData): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(answer.headers)) {
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  headers[OUTCOME_HEADER] = 'answered';
  return headers;
}

/** Errors that occur before a connection is established, so that no byte of the request has been sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

/** Classifies a failed attempt by whether the request may have reached the server. */
export function classifyFailure(cause: unknown): AttemptResult {
  const code = (cause as { code?: unknown }).code;
  if (typeof code === 'string' && NOT_SENT_CODES.has(code)) {
    return { kind: 'notSent', reason: code };
  }
  return { kind: 'lost', reason: errorMessage(cause), answerStarted: false };
}

/** Sends a response with a problem body (RFC 9457) that contains the outcome. */
export function writeProblem(
  response: ServerResponse,
  status: number,
  outcome: string,
  title: string,
  detail: string,
  retryAfterSeconds: number | null,
): void {
  if (retryAfterSeconds !== null) {
    response.setHeader('retry-after', String(retryAfterSeconds));
  }
  response.setHeader(OUTCOME_HEADER, outcome);
  response.writeHead(status, { 'content-type': 'application/problem+json' });
  response.end(JSON.stringify({ type: 'about:blank', title, status, detail, outcome }));
}
