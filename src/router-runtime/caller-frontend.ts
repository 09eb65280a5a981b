/**
 * The HTTP servers for callers, and for daemons that send requests of their callers here: reads complete requests, passes them to the reducer,
 * and sends the attempts and responses that it decides on. Built directly on Node's HTTP server, because a framework on top would cost more than the work itself.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { AnswerEffect } from '../router/effects.js';
import type { RouterEvent } from '../router/events.js';
import type { Address } from '../router/model/address.js';
import type { CallerLimits } from '../router/model/configuration.js';
import { LAST_KEY, type Milliseconds } from '../router/model/identifiers.js';
import type { RequestProtocol } from '../router/ports.js';
import type { RequestOrigin } from '../router/proxying/request-origin.js';
import { hasRepeatedHost, headerValue } from './headers.js';
import { takeOrigin } from './proxy-headers.js';
import { createCallerWriter, createProxyWriter, type ResponseWriter } from './response-writers.js';
import { AttemptSender } from './attempt-sender.js';
import { CallerConnection, type ConnectionListener } from './caller-connection.js';
import type { RequestSlot } from './request-slot.js';
import type { CallerFrontendOptions, LoopStatus } from './caller-frontend-options.js';
import { createCallerServer } from './caller-server.js';
import type { Exchange } from './exchange.js';
import { LazyFingerprint } from './lazy-fingerprint.js';
import { listen } from './listen.js';
import { ArrivalQueue } from './arrival-queue.js';
import { NOT_RUN, RequestBody } from './request-body.js';
import { TransferLimits, type TransferStatistics } from './transfer-limits.js';
import { boundedDelay } from './timers.js';

/** The largest request body accepted before the first configuration sets a limit. */
const INITIAL_MAX_BODY_BYTES = 1024 * 1024;
const BAD_REQUEST = 400;
/** Used when no memory limit is given: the smallest one in use. */
const DEFAULT_MEMORY_MEGABYTES = 210;
const MALFORMED_KEY = `the key must be a whole number from 0 to ${LAST_KEY}`;
const CALLER_NOT_READING = 'the caller does not read its answers';
const ANSWER_OUT_OF_TURN = 'its long answer waited for too long behind an earlier one';
const BEHIND_CLOSING_ANSWER = 'an earlier answer closes the connection';
/** Room for the headers that daemons add to those of a caller. */
const PROXY_HEADER_BYTES = 8 * 1024;

/** Reads a request whose head has been read. */
type Receiver = (incoming: IncomingMessage, slot: RequestSlot) => void;

export class CallerFrontend {
  readonly server: Server;
  /** Sends the attempts of the requests. */
  readonly attempts: AttemptSender;
  /** Takes requests from other daemons. */
  readonly proxyServer: Server;
  readonly #protocol: RequestProtocol;
  readonly #dispatch: (event: RouterEvent) => void;
  readonly #loop: LoopStatus;
  readonly #barrier: CallerFrontendOptions['barrier'];
  readonly #longestReadDelay: (incoming: IncomingMessage) => Milliseconds;
  readonly #arrivals: ArrivalQueue<number>;
  readonly #transfers: TransferLimits;
  readonly #callerConnections = new Map<Socket, CallerConnection>();
  readonly #connectionListener: ConnectionListener = {
    wasSent: (requestId) => this.#wasSent(requestId),
    onUnreachable: (requestId) => this.#reportDisconnect(requestId, BEHIND_CLOSING_ANSWER),
    onNotReading: (requestId) => this.#reportDisconnect(requestId, CALLER_NOT_READING),
    onWaitedTooLong: (requestId) => this.#reportDisconnect(requestId, ANSWER_OUT_OF_TURN),
    onDisconnected: (requestId) => this.#reportDisconnect(requestId),
  };
  readonly #usedConnections = new WeakSet<Socket>();
  readonly #exchanges = new Map<number, Exchange>();
  #nextRequestId = 1;
  #maxBodyBytes = INITIAL_MAX_BODY_BYTES;
  #isClosing = false;

  constructor(options: CallerFrontendOptions) {
    const { protocol, barrier, dispatch, loop, longestReadDelay } = options;
    this.attempts = new AttemptSender(options, this.#exchanges);
    this.#protocol = protocol;
    this.#dispatch = dispatch;
    this.#loop = loop;
    this.#barrier = barrier;
    this.#transfers = new TransferLimits(options.memoryMegabytes ?? DEFAULT_MEMORY_MEGABYTES);
    this.#longestReadDelay = (incoming) =>
      longestReadDelay(incoming.headers.host ?? '', incoming.url ?? '/') ?? Number.POSITIVE_INFINITY;
    this.#arrivals = new ArrivalQueue(
      barrier,
      () => PROCESS_CLOCK.now(),
      (requestId, readDelay) => this.#dispatchArrival(requestId, readDelay),
    );
    const isClosing = (): boolean => this.#isClosing;
    this.server = this.#createServer((incoming, slot) =>
      this.#readRequest(incoming, slot, createCallerWriter(slot, isClosing), null),
    );
    this.proxyServer = this.#createServer((incoming, slot) => this.#readProxiedRequest(incoming, slot));
  }

  #createServer(receive: Receiver): Server {
    const server = createCallerServer({
      onConnection: (socket) => {
        const connection = new CallerConnection(socket, this.#transfers, this.#connectionListener);
        this.#callerConnections.set(socket, connection);
        socket.on('close', () => this.#callerConnections.delete(socket));
      },
      onRequest: (incoming, outgoing) => this.#receive(incoming, outgoing, receive),
      mayAnswerMalformed: (socket) => this.#callerConnections.get(socket)?.mayAnswerMalformed === true,
      closeConnection: (socket) => this.#callerConnections.get(socket)?.close(),
    });
    this.#barrier.watch(server);
    return server;
  }

  #receive(incoming: IncomingMessage, outgoing: ServerResponse, receive: Receiver): void {
    const connection = this.#callerConnections.get(incoming.socket);
    const slot = connection?.addRequest(this.#nextRequestId, outgoing) ?? null;
    if (slot === null) {
      incoming.resume();
      return;
    }
    this.#nextRequestId += 1;
    receive(incoming, slot);
  }

  /** What the metrics show of the data in transfer. */
  get transfers(): TransferStatistics {
    return this.#transfers;
  }

  /** Returns the number of requests whose response has not ended. */
  get inFlight(): number {
    return this.#exchanges.size;
  }

  /** Listens for callers. Rejects when the address is in use. */
  listen(address: Address): Promise<void> {
    return listen(this.server, address);
  }

  /** Listens for other daemons. Rejects when the address is in use. */
  listenForDaemons(address: Address): Promise<void> {
    return listen(this.proxyServer, address);
  }

  /** Applies new limits. Limits on connections take effect with a connection's next request. */
  applyLimits(limits: CallerLimits): void {
    this.#maxBodyBytes = limits.bodyBytes;
    this.server.headersTimeout = boundedDelay(limits.headerTimeout);
    this.server.keepAliveTimeout = boundedDelay(limits.idleTimeout);
    (this.server as Server & { maxHeaderSize: number }).maxHeaderSize = limits.headerBytes;
    (this.proxyServer as Server & { maxHeaderSize: number }).maxHeaderSize =
      limits.headerBytes + PROXY_HEADER_BYTES;
  }

  /** Sets whether each connection is closed after its next response, so that callers connect to another daemon. */
  setCloseAfterResponse(isClosing: boolean): void {
    this.#isClosing = isClosing;
  }

  /** Accepts no more connections of callers, and closes idle ones. Those of daemons stay, since a request may be on its way on them. */
  closeIdle(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes every connection. */
  closeAll(): void {
    this.#callerConnections.forEach((connection) => connection.closeAtOnce());
    this.server.closeAllConnections();
    this.proxyServer.close();
    this.proxyServer.closeAllConnections();
  }

  #readProxiedRequest(incoming: IncomingMessage, slot: RequestSlot): void {
    const writer = createProxyWriter(slot);
    const origin = takeOrigin(incoming.rawHeaders);
    if (origin === null) {
      incoming.resume();
      writer.answer({ ...NOT_RUN, status: BAD_REQUEST, reason: 'malformed description of the request' });
      return;
    }
    this.#readRequest(incoming, slot, writer, origin);
  }

  #readRequest(
    incoming: IncomingMessage,
    slot: RequestSlot,
    writer: ResponseWriter,
    origin: RequestOrigin | null,
  ): void {
    new RequestBody(incoming, slot, this.#transfers, () => this.#maxBodyBytes, {
      onRefused: (answer) => writer.answer(answer),
      onComplete: (body) => {
        const readAt = PROCESS_CLOCK.now();
        slot.outgoing.on('finish', () => this.#removeExchange(slot.requestId));
        slot.connection.admit(slot, () => {
          this.#addRequest(slot.requestId, { incoming, writer, slot, origin, body }, readAt);
        });
      },
    });
  }

  #addRequest(
    requestId: number,
    received: Pick<Exchange, 'incoming' | 'writer' | 'slot' | 'origin' | 'body'>,
    readAt: Milliseconds,
  ): void {
    const { incoming, writer } = received;
    const { rawHeaders } = incoming;
    const attemptId = headerValue(rawHeaders, this.#protocol.attemptId) ?? '';
    const key = this.#readKey(rawHeaders);
    const isKeyMalformed = key !== null && !(key >= 0 && key <= LAST_KEY);
    if (isKeyMalformed || hasRepeatedHost(rawHeaders)) {
      const reason = isKeyMalformed ? MALFORMED_KEY : 'the request names more than one host';
      writer.answer({ ...NOT_RUN, status: BAD_REQUEST, reason });
      return;
    }
    const exchange: Exchange = {
      ...received,
      attemptId,
      key,
      isDispatched: false,
      attempt: null,
      wasSent: false,
      attemptNumber: 0,
      isAttemptWaiting: false,
    };
    this.#exchanges.set(requestId, exchange);
    const readDelay = this.#loop.readDelay() + PROCESS_CLOCK.now() - readAt;
    const isFirst = this.#isFirstRequestOn(incoming.socket);
    if (!isFirst && this.#arrivals.isEmpty && this.#loop.isOnTime()) {
      // The caller's disconnect can't be unread behind this request for longer than the usual delay of the loop.
      this.#dispatchArrival(requestId, readDelay);
    } else {
      this.#arrivals.add(requestId, readDelay, this.#longestReadDelay(incoming));
    }
  }

  /** Returns whether this is the connection's first request. How long the connection had waited to be accepted is unknown then. */
  #isFirstRequestOn(socket: Socket): boolean {
    const isFirst = !this.#usedConnections.has(socket);
    this.#usedConnections.add(socket);
    return isFirst;
  }

  #dispatchArrival(requestId: number, readDelay: Milliseconds): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) {
      return;
    }
    exchange.isDispatched = true;
    const { incoming, body, attemptId, key, origin } = exchange;
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
      callerTimeout: this.#readCallerTimeout(rawHeaders),
      key,
      fingerprint: new LazyFingerprint({ method, host, target, credentials, body }),
      readDelay,
      origin,
    });
  }

  #readKey(rawHeaders: readonly string[]): number | null {
    const text = headerValue(rawHeaders, this.#protocol.key);
    return text === null ? null : /^\d+$/.test(text) ? Number(text) : Number.NaN;
  }

  #readCallerTimeout(rawHeaders: readonly string[]): number | null {
    const timeout = Number(headerValue(rawHeaders, this.#protocol.remainingTime) ?? Number.NaN);
    return Number.isFinite(timeout) && timeout >= 0 ? timeout : null;
  }

  #wasSent(requestId: number): boolean {
    const exchange = this.#exchanges.get(requestId);
    return exchange !== undefined && (exchange.wasSent || exchange.attempt?.isSent === true);
  }

  /** Reports that a request's answer can't be delivered; without a reason, because its caller has disconnected. */
  #reportDisconnect(requestId: number, reason?: string): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange === undefined) {
      return;
    }
    // The reducer must learn this before the attempt ends: otherwise it would retry the attempt on another server.
    const { attemptId, isDispatched } = exchange;
    this.#dispatch({ kind: 'callerLeft', requestId, attemptId, isArrivalReported: isDispatched, reason });
    exchange.attempt?.cancel();
    this.#removeExchange(requestId);
  }

  #removeExchange(requestId: number): void {
    this.#exchanges.delete(requestId);
  }

  /** Sends a response that the daemon itself produces. */
  answer(effect: AnswerEffect): void {
    this.#exchanges.get(effect.requestId)?.writer.answer(effect);
  }
}
