/** Sends the attempts of requests to servers, directly or by way of other daemons. */
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { PollBarrier } from '../event-loop/poll-barrier.js';
import type {
  CancelEffect,
  Effect,
  ForwardEffect,
  ForwardToProxyEffect,
  WithdrawEffect,
} from '../router/effects.js';
import type { AttemptResult, RouterEvent } from '../router/events.js';
import type { Milliseconds, ServerId } from '../router/model/identifiers.js';
import { instanceOf } from '../router/model/server-incarnation.js';
import type { LimitReading } from '../router/model/server-limit.js';
import type { RequestProtocol } from '../router/ports.js';
import { Attempt } from './attempt.js';
import { performGuarded } from './effect-guard.js';
import type { Exchange } from './exchange.js';
import { forwardedHeaders } from './headers.js';
import { originHeader } from './proxy-headers.js';
import type { OutgoingRequest } from './outgoing-request.js';
import { ProxyResponseReader } from './proxy-response-reader.js';
import type { ResponseReader } from './response-reader.js';
import type { ServerConnections } from './server-connections.js';
import { ServerResponseReader } from './server-response-reader.js';

/** An attempt to send a request somewhere. */
type AttemptEffect = ForwardEffect | ForwardToProxyEffect;

/** Dependencies of the sender. */
export interface AttemptSenderOptions {
  readonly protocol: RequestProtocol;
  readonly connections: ServerConnections;
  /** Connections to daemons that send requests to servers for this one. */
  readonly proxyConnections: ServerConnections;
  readonly barrier: PollBarrier;
  readonly dispatch: (event: RouterEvent) => void;
  /** Returns whether a request may be written to a server now. */
  readonly isWriteAllowed: (server: ServerId) => boolean;
  /** Reports an attempt that an exception has stopped before anything was written. */
  readonly onFailure: (effect: Effect, reason: string) => void;
}

export class AttemptSender {
  readonly #protocol: RequestProtocol;
  readonly #connections: ServerConnections;
  readonly #proxyConnections: ServerConnections;
  readonly #barrier: PollBarrier;
  readonly #dispatch: (event: RouterEvent) => void;
  readonly #isWriteAllowed: (server: ServerId) => boolean;
  readonly #onFailure: AttemptSenderOptions['onFailure'];
  readonly #exchanges: ReadonlyMap<number, Exchange>;
  readonly #removedHeaders: ReadonlySet<string>;

  /** @param exchanges requests without a complete response, by id */
  constructor(options: AttemptSenderOptions, exchanges: ReadonlyMap<number, Exchange>) {
    this.#protocol = options.protocol;
    this.#connections = options.connections;
    this.#proxyConnections = options.proxyConnections;
    this.#barrier = options.barrier;
    this.#dispatch = options.dispatch;
    this.#isWriteAllowed = options.isWriteAllowed;
    this.#onFailure = options.onFailure;
    this.#exchanges = exchanges;
    this.#removedHeaders = new Set([options.protocol.remainingTime, options.protocol.expectedServer]);
  }

  /** Sends an attempt to a server, once a recent poll has read everything that the caller's connection had received. */
  forward(effect: ForwardEffect): void {
    this.#startWhenPolled(effect, (exchange) => this.#startServerAttempt(effect, exchange));
  }

  /** Sends an attempt to another daemon, in the same way. */
  forwardToProxy(effect: ForwardToProxyEffect): void {
    this.#startWhenPolled(effect, (exchange) => this.#startProxyAttempt(effect, exchange));
  }

  #startWhenPolled(effect: AttemptEffect, start: (exchange: Exchange) => void): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange === undefined) {
      this.#dispatchAttemptEnd(effect, { kind: 'withdrawn', reason: 'the caller left' });
      return;
    }
    exchange.attemptNumber = effect.attempt;
    exchange.isAttemptWaiting = true;
    this.#barrier.whenRecentlyPolled(() => {
      const isCurrent = exchange.isAttemptWaiting && exchange.attemptNumber === effect.attempt;
      if (isCurrent && this.#exchanges.has(effect.requestId)) {
        exchange.isAttemptWaiting = false;
        performGuarded(
          () => start(exchange),
          (reason) => this.#endUnstarted(effect, exchange, reason),
        );
      }
    });
  }

  /** Ends an attempt that an exception has stopped. */
  #endUnstarted(effect: AttemptEffect, exchange: Exchange, reason: string): void {
    if (exchange.attempt === null) {
      this.#onFailure(effect, reason);
    } else {
      exchange.attempt.cancel();
    }
  }

  #startServerAttempt(effect: ForwardEffect, exchange: Exchange): void {
    const { server } = effect;
    const isWriteAllowed = (): boolean => this.#isWriteAllowed(server);
    if (!isWriteAllowed()) {
      this.#dispatchAttemptEnd(effect, { kind: 'withheld' });
      return;
    }
    const sentAt = PROCESS_CLOCK.now();
    const method = exchange.incoming.method ?? 'GET';
    const request = { method, attemptId: exchange.attemptId, repeatable: effect.repeatable };
    const reader = new ServerResponseReader(request, this.#protocol, {
      onNotice: (notice) => this.#dispatch({ kind: 'serverNoticed', server, notice }),
      onLimitRead: (reading) => this.#reportLimit(effect, reading, sentAt),
    });
    const expectedServer = [this.#protocol.expectedServer, instanceOf(server)];
    this.#startAttempt(effect, exchange, this.#connections, expectedServer, reader, isWriteAllowed);
  }

  /** The proxy compares its data with the bounds when it writes to a server. */
  #startProxyAttempt(effect: ForwardToProxyEffect, exchange: Exchange): void {
    const headers = originHeader(effect.origin);
    const reader = new ProxyResponseReader(exchange.incoming.method ?? 'GET');
    this.#startAttempt(effect, exchange, this.#proxyConnections, headers, reader, () => true);
  }

  #startAttempt(
    effect: AttemptEffect,
    exchange: Exchange,
    connections: ServerConnections,
    addedHeaders: readonly string[],
    reader: ResponseReader,
    isWriteAllowed: () => boolean,
  ): void {
    const request = this.#outgoingRequest(exchange, effect.timeLeft, addedHeaders);
    const acquired = connections.acquire(effect.address, exchange.attemptId);
    if (acquired.isErr()) {
      const { isFull, reason } = acquired.error;
      this.#dispatchAttemptEnd(
        effect,
        isFull ? { kind: 'withdrawn', reason } : { kind: 'notSent', reason, refused: false },
      );
      return;
    }
    const connection = acquired.value;
    const attempt: Attempt = new Attempt(request, reader, connection, exchange.writer.sink, {
      isWriteAllowed,
      onFinished: (result, reusable) => {
        if (result.kind === 'rejected') {
          connection.recordRejection(exchange.attemptId);
        }
        connections.release(effect.address, connection, reusable);
        exchange.wasSent ||= attempt.isSent;
        if (exchange.attempt === attempt) {
          exchange.attempt = null;
        }
        this.#dispatchAttemptEnd(effect, result);
      },
    });
    exchange.attempt = attempt;
    attempt.start();
  }

  #outgoingRequest(
    { incoming, body }: Exchange,
    timeLeft: Milliseconds,
    addedHeaders: readonly string[],
  ): OutgoingRequest {
    const headers = forwardedHeaders(incoming.rawHeaders, this.#removedHeaders);
    headers.push(this.#protocol.remainingTime, String(Math.max(1, Math.floor(timeLeft))), ...addedHeaders);
    return { method: incoming.method ?? 'GET', path: incoming.url ?? '/', headers, body };
  }

  /** Reports the limit in a response. Most responses name none, which is reported only if the server had a limit. */
  #reportLimit({ server, isLimited }: ForwardEffect, reading: LimitReading, sentAt: Milliseconds): void {
    if (reading !== null || isLimited) {
      this.#dispatch({ kind: 'serverLimitRead', server, reading, sentAt });
    }
  }

  #dispatchAttemptEnd({ requestId, attempt }: AttemptEffect, result: AttemptResult): void {
    this.#dispatch({ kind: 'attemptEnded', requestId, attempt, result });
  }

  /** Cancels an attempt. */
  cancel(effect: CancelEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange?.attemptNumber === effect.attempt) {
      exchange.isAttemptWaiting = false;
      exchange.attempt?.cancel();
    }
  }

  /** Cancels an attempt that has not been sent yet. */
  withdraw(effect: WithdrawEffect): void {
    const exchange = this.#exchanges.get(effect.requestId);
    if (exchange?.attemptNumber !== effect.attempt) {
      return;
    }
    if (exchange.isAttemptWaiting) {
      exchange.isAttemptWaiting = false;
      const { requestId, attempt } = effect;
      const result = { kind: 'withdrawn', reason: 'no longer needed' } as const;
      this.#dispatch({ kind: 'attemptEnded', requestId, attempt, result });
    }
    exchange.attempt?.withdraw();
  }
}
