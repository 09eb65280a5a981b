/**
 * Reads whole requests of callers, hands them to the reducer, and carries attempts and answers out. Uses the
 * runtime's own HTTP server: a layer above it would cost more than the work itself.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { AnswerEffect, CancelEffect, ForwardEffect, WithdrawEffect } from '../router/effects.js';
import type { AttemptResult, RouterEvent } from '../router/events.js';
import type { CallerLimits } from '../router/model/configuration.js';
import { type Key, LAST_KEY, type Milliseconds } from '../router/model/identifiers.js';
import { instanceOf } from '../router/model/server-incarnation.js';
import type { LimitReading } from '../router/model/server-limit.js';
import type { RequestProtocol } from '../router/ports.js';
import { Attempt, type AnswerSink, type AttemptListener } from './attempt.js';
import { forwardedHeaders, headerValue } from './headers.js';
import { LazyFingerprint } from './lazy-fingerprint.js';
import { listen } from './listen.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';
import { RequestIntake } from './request-intake.js';
import type { ServerConnections } from './server-connections.js';

const MILLISECONDS_PER_SECOND = 1_000;
const CONNECTIONS_CHECK_MILLISECONDS = 1_000;
const FIRST_HEADER_TIMEOUT_MILLISECONDS = 10_000;
const FIRST_IDLE_TIMEOUT_MILLISECONDS = 15_000;
/** Bodies before the first configuration. */
const FIRST_BODY_BYTES = 1024 * 1024;
const TOO_LARGE = 413;
const BAD_REQUEST = 400;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** How the event loop is doing now. */
export interface LoopState {
  /** How long a request that is read now may have waited unread. */
  readDelay(): Milliseconds;
  /** It has polled its sockets a short time ago. */
  isOnTime(): boolean;
}

/** What a front works with. */
export interface CallerFrontParts {
  readonly protocol: RequestProtocol;
  readonly connections: ServerConnections;
  readonly barrier: PollBarrier;
  readonly dispatch: (event: RouterEvent) => void;
  readonly loop: LoopState;
  /** How long a request may wait unread and still be answered in time; null: it has no route. */
  readonly longestReadDelay: (host: string, target: string) => Milliseconds | null;
}

/** A caller's request between its arrival and the end of its answer. */
interface Exchange {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly body: Buffer | null;
  readonly attemptId: string;
  readonly key: Key | null;
  /** The reducer has it. */
  isTakenIn: boolean;
  attempt: Attempt | null;
  attemptNumber: number;
  /** The attempt waits until the caller is known to be still there. */
  isAttemptWaiting: boolean;
}

export class CallerFront {
  readonly server: Server;
  readonly #protocol: RequestProtocol;
  readonly #connections: ServerConnections;
  readonly #dispatch: (event: RouterEvent) => void;
  readonly #loop: LoopState;
  readonly #barrier: PollBarrier;
  readonly #longestReadDelay: (incoming: IncomingMessage) => Milliseconds;
  readonly #intake: RequestIntake<number>;
  /** Of each open connection of a caller, the requests that have not ended: several when they came at once. */
  readonly #requestsOf = new WeakMap<Socket, Set<number>>();
  readonly #usedConnections = new WeakSet<Socket>();
  readonly #exchanges = new Map<number, Exchange>();
  readonly #notForwarded: ReadonlySet<string>;
  #nextRequestId = 1;
  #bodyBytes = FIRST_BODY_BYTES;
  #closing = false;

  constructor(parts: CallerFrontParts) {
    const { protocol, connections, barrier, dispatch, loop, longestReadDelay } = parts;
    this.#protocol = protocol;
    this.#connections = connections;
    this.#dispatch = dispatch;
    this.#loop = loop;
    this.#barrier = barrier;
    this.#longestReadDelay = (incoming) =>
      longestReadDelay(incoming.headers.host ?? '', incoming.url ?? '/') ?? Number.POSITIVE_INFINITY;
    this.#intake = new RequestIntake(
      barrier,
      () => PROCESS_CLOCK.now(),
      (requestId, waited) => this.#takeIn(requestId, waited),
    );
    this.#notForwarded = new Set([protocol.remainingTime, protocol.expectedServer]);
    this.server = createServer(
      { connectionsCheckingInterval: CONNECTIONS_CHECK_MILLISECONDS, noDelay: true },
      (incoming, outgoing) => this.#receive(incoming, outgoing),
    );
    barrier.watch(this.server);
    this.server.on('connection', (socket) => this.#watch(socket));
    this.server.headersTimeout = FIRST_HEADER_TIMEOUT_MILLISECONDS;
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = FIRST_IDLE_TIMEOUT_MILLISECONDS;
  }

  /** Requests whose answer has not ended. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Listens for callers. Rejects when the address is taken. */
  listen(address: string): Promise<void> {
    return listen(this.server, address);
  }

  /** Puts limits in force; those on connections hold from their next request. */
  applyLimits(limits: CallerLimits): void {
    this.#bodyBytes = limits.bodyBytes;
    this.server.headersTimeout = limits.headerTimeout;
    this.server.keepAliveTimeout = limits.idleTimeout;
    (this.server as Server & { maxHeaderSize: number }).maxHeaderSize = limits.headerBytes;
  }

  /** Whether every answer ends its connection from now on, so that callers go to another daemon. */
  closeConnections(closing: boolean): void {
    this.#closing = closing;
  }

  /** Takes no new connections, and ends those at rest. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Ends every connection. */
  closeAll(): void {
    this.server.closeAllConnections();
  }

  /** A caller that ends its side of a connection has left, also if it would still read. */
  #watch(socket: Socket): void {
    const requests = new Set<number>();
    this.#requestsOf.set(socket, requests);
    const leave = (): void => requests.forEach((requestId) => this.#callerLeft(requestId));
    socket.on('end', leave);
    socket.on('error', leave);
    socket.on('close', leave);
  }

  #receive(incoming: IncomingMessage, outgoing: ServerResponse): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let refused = false;
    incoming.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > this.#bodyBytes && !refused) {
        refused = true;
        outgoing.shouldKeepAlive = false;
        this.#plainAnswer(outgoing, TOO_LARGE, 'the body is too long', null);
      }
      if (!refused) {
        chunks.push(chunk);
      }
    });
    incoming.on('error', () => undefined);
    incoming.on('end', () => {
      if (!refused) {
        const body = bytes === 0 ? null : chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks);
        this.#arrived(incoming, outgoing, body);
      }
    });
  }

  #arrived(incoming: IncomingMessage, outgoing: ServerResponse, body: Buffer | null): void {
    const { rawHeaders } = incoming;
    const requestId = this.#nextRequestId;
    this.#nextRequestId += 1;
    const attemptId = headerValue(rawHeaders, this.#protocol.attemptId) ?? '';
    const key = this.#readKey(rawHeaders);
    if (key !== null && !(key >= 0 && key <= LAST_KEY)) {
      this.#plainAnswer(outgoing, BAD_REQUEST, `the key must be a whole number from 0 to ${LAST_KEY}`, null);
      return;
    }
    const exchange: Exchange = {
      incoming,
      outgoing,
      body,
      attemptId,
      key,
      isTakenIn: false,
      attempt: null,
      attemptNumber: 0,
      isAttemptWaiting: false,
    };
    this.#exchanges.set(requestId, exchange);
    this.#requestsOf.get(incoming.socket)?.add(requestId);
    outgoing.on('finish', () => this.#forget(requestId, exchange));
    const isFirst = this.#isFirstOf(incoming.socket);
    if (!isFirst && this.#intake.isEmpty && this.#loop.isOnTime()) {
      // Nothing can lie behind it that is older than the loop's usual delay.
      this.#takeIn(requestId, this.#loop.readDelay());
    } else {
      this.#intake.add(requestId, this.#loop.readDelay(), this.#longestReadDelay(incoming));
    }
  }

  /** Whether a connection has had no request before: nobody knows how long it had waited to be accepted. */
  #isFirstOf(socket: Socket): boolean {
    const isFirst = !this.#usedConnections.has(socket);
    this.#usedConnections.add(socket);
    return isFirst;
  }

  #takeIn(requestId: number, readDelay: Milliseconds): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) {
      return;
    }
    exchange.isTakenIn = true;
    const { incoming, body, attemptId, key } = exchange;
    const { rawHeaders } = incoming;
    const method = incoming.method ?? 'GET';
    const host = incoming.headers.host ?? '';
    const target = incoming.url ?? '/';
    const credentials = headerValue(rawHeaders, this.#protocol.credentials);
    this.#dispatch({
      kind: 'requestArrived',
      requestId,
      attemptId,
      method,
      host,
      target,
      callerPatience: this.#readPatience(rawHeaders),
      key,
      fingerprint: new LazyFingerprint({ method, host, target, credentials, body }),
      readDelay,
    });
  }

  #readKey(rawHeaders: readonly string[]): number | null {
    const text = headerValue(rawHeaders, this.#protocol.key);
    return text === null ? null : /^\d+$/.test(text) ? Number(text) : Number.NaN;
  }

  #readPatience(rawHeaders: readonly string[]): number | null {
    const patience = Number(headerValue(rawHeaders, this.#protocol.remainingTime) ?? Number.NaN);
    return Number.isFinite(patience) && patience >= 0 ? patience : null;
  }

  #callerLeft(requestId: number): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) {
      return;
    }
    // The reducer learns this first: an attempt that merely ended would be tried again elsewhere.
    const { attemptId, isTakenIn } = exchange;
    this.#dispatch({ kind: 'callerLeft', requestId, attemptId, isArrivalReported: isTakenIn });
    exchange.attempt?.cancel();
    this.#forget(requestId, exchange);
  }

  #forget(requestId: number, { incoming }: Exchange): void {
    this.#exchanges.delete(requestId);
    this.#requestsOf.get(incoming.socket)?.delete(requestId);
  }

  /** Sends an attempt to a server, once all that the caller's connection had received has been read. */
  forward(effect: ForwardEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange === undefined) {
      this.#attemptEnded(effect, { kind: 'notSent', reason: 'the caller left', refused: false });
      return;
    }
    exchange.attemptNumber = effect.attempt;
    exchange.isAttemptWaiting = true;
    this.#barrier.whenFresh(() => {
      const isCurrent = exchange.isAttemptWaiting && exchange.attemptNumber === effect.attempt;
      if (isCurrent && this.#exchanges.has(effect.requestId)) {
        exchange.isAttemptWaiting = false;
        this.#send(effect, exchange);
      }
    });
  }

  #send(effect: ForwardEffect, exchange: Exchange): void {
    const connection = this.#connections.take(effect.address);
    if (connection === null) {
      this.#attemptEnded(effect, {
        kind: 'notSent',
        reason: 'too many connections are open',
        refused: false,
      });
      return;
    }
    const { incoming, body, attemptId } = exchange;
    const headers = forwardedHeaders(incoming.rawHeaders, this.#notForwarded);
    headers.push(this.#protocol.remainingTime, String(Math.max(1, Math.floor(effect.timeLeft))));
    headers.push(this.#protocol.expectedServer, instanceOf(effect.server));
    const request = { method: incoming.method ?? 'GET', path: incoming.url ?? '/', headers, body, attemptId };
    const sentAt = PROCESS_CLOCK.now();
    const listener: AttemptListener = {
      noticed: (notice) => this.#dispatch({ kind: 'serverNoticed', server: effect.server, notice }),
      limitRead: (reading) => this.#limitRead(effect, reading, sentAt),
      finished: (result, reusable) => {
        this.#connections.release(effect.address, connection, reusable);
        if (exchange.attempt === attempt) {
          exchange.attempt = null;
        }
        this.#attemptEnded(effect, result);
      },
    };
    const sink = this.#sinkFor(exchange);
    const attempt = new Attempt(request, this.#protocol, connection, sink, listener);
    exchange.attempt = attempt;
    attempt.start();
  }

  /** Most answers name no limit: that says something only where there was one. */
  #limitRead({ server, isLimited }: ForwardEffect, reading: LimitReading, sentAt: Milliseconds): void {
    if (reading !== null || isLimited) {
      this.#dispatch({ kind: 'serverLimitRead', server, reading, sentAt });
    }
  }

  #attemptEnded({ requestId, attempt }: ForwardEffect, result: AttemptResult): void {
    this.#dispatch({ kind: 'attemptEnded', requestId, attempt, result });
  }

  #sinkFor({ outgoing }: Exchange): AnswerSink {
    return {
      whole: (status, rawHeaders, body, hasLength) => {
        this.#writeHead(outgoing, status, rawHeaders, hasLength ? body.length : null);
        outgoing.end(body);
      },
      begin: (status, rawHeaders, body, onDrain) => {
        const length = headerValue(rawHeaders, 'content-length');
        this.#writeHead(outgoing, status, rawHeaders, length === null ? null : Number(length));
        outgoing.on('drain', onDrain);
        return outgoing.write(body);
      },
      more: (chunk) => outgoing.write(Buffer.from(chunk)),
      end: () => outgoing.end(),
      breakOff: () => outgoing.destroy(),
    };
  }

  #writeHead(outgoing: ServerResponse, status: number, rawHeaders: string[], length: number | null): void {
    const headers = forwardedHeaders(rawHeaders, NO_HEADERS);
    if (length === null) {
      // Nobody can tell whether it broke off: a length of ours would say that it is complete.
      outgoing.useChunkedEncodingByDefault = false;
      outgoing.shouldKeepAlive = false;
    } else {
      headers.push('Content-Length', String(length));
    }
    outgoing.shouldKeepAlive &&= !this.#closing;
    outgoing.writeHead(status, headers);
  }

  /** Gives an attempt up. */
  cancel(effect: CancelEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange?.attemptNumber === effect.attempt) {
      exchange.isAttemptWaiting = false;
      exchange.attempt?.cancel();
    }
  }

  /** Takes an attempt back unless it has been sent. */
  withdraw(effect: WithdrawEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange?.attemptNumber !== effect.attempt) {
      return;
    }
    if (exchange.isAttemptWaiting) {
      exchange.isAttemptWaiting = false;
      const { requestId, attempt } = effect;
      const result = { kind: 'notSent', reason: 'withdrawn', refused: false } as const;
      this.#dispatch({ kind: 'attemptEnded', requestId, attempt, result });
    }
    exchange.attempt?.withdraw();
  }

  /** Answers a caller without a server. */
  answer(effect: AnswerEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange !== undefined) {
      this.#plainAnswer(exchange.outgoing, effect.status, effect.reason, effect.retryAfter);
    }
  }

  #plainAnswer(outgoing: ServerResponse, status: number, reason: string, retryAfter: number | null): void {
    if (outgoing.headersSent || outgoing.destroyed) {
      return;
    }
    const body = Buffer.from(`${JSON.stringify({ status, reason })}\n`);
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (retryAfter !== null) {
      headers.push('Retry-After', (retryAfter / MILLISECONDS_PER_SECOND).toFixed(3));
    }
    outgoing.shouldKeepAlive &&= !this.#closing;
    outgoing.writeHead(status, headers);
    outgoing.end(body);
  }
}
