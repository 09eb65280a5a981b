/**
 * Connection pools to servers, with one request at a time on each connection. The most recently used connection is reused first, so that
 * few stay open. A connection on which anything went wrong is never reused.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { buildResettingConnector, Client, HeldReads, OverheadLimit } from '../http-client/index.js';
import type { Socket } from 'node:net';
import type { PollBarrier } from '../event-loop/poll-barrier.js';
import type { Address } from '../router/model/address.js';
import { RecentAttempts } from './recent-attempts.js';

const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 700;
/** Idle timeout for servers that don't state theirs in a `Keep-Alive` header. Servers close idle connections after a timeout of their own. */
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 6_000;
const IDLE_TIMEOUT_MARGIN_MILLISECONDS = 1_500;
const MAX_IDLE_TIMEOUT_MILLISECONDS = 60_000;
/** The most connections of this daemon to one server, and to one daemon that sends requests to servers for it. */
export const MAX_CONNECTIONS_PER_SERVER = 24;
export const MAX_CONNECTIONS_PER_PROXY = 96;

/** Number of rejections after which a connection is replaced, which bounds what is remembered of them. */
const MAX_REJECTIONS_PER_CONNECTION = 256;

type Connector = ReturnType<typeof buildResettingConnector>;

/** Why there is no connection for a request. */
export interface NoConnection {
  /** Whether too many are open. Otherwise none can be created. */
  readonly isFull: boolean;
  readonly reason: string;
}

/** Delays an action until the sockets have been polled. */
type ConnectBarrier = Pick<PollBarrier, 'whenRecentlyPolled'>;

/** One connection to a server. */
export class ServerConnection {
  readonly client: Client;
  /** The socket was reset or failed, as opposed to an orderly close. */
  failed = false;
  #requestCount = 0;
  #reads: HeldReads | null = null;
  #overhead: OverheadLimit | null = null;
  readonly #attempts = new RecentAttempts();
  readonly #rejectedAttempts = new Set<string>();

  /** @param barrier delays the first request on a new connection until a recent poll has shown whether its caller has disconnected */
  constructor(address: Address, barrier: ConnectBarrier, connector: Connector) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MILLISECONDS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MILLISECONDS,
      connect: (options, callback) => {
        connector(options, (...result) => {
          const [error, socket] = result;
          if (error === null) {
            this.#overhead = new OverheadLimit(socket);
            this.#reads = new HeldReads(socket);
            this.#detectFailure(socket);
          }
          barrier.whenRecentlyPolled(() => callback(...result));
        });
      },
    });
    this.client.on('connectionError', () => undefined);
  }

  #detectFailure(socket: Socket): void {
    this.failed = false;
    socket.on('error', () => {
      this.failed = true;
    });
    // A reset that arrives with the last bytes is reported as an orderly end. Only a socket that was reset has no peer any more.
    socket.on('end', () => {
      this.failed ||= socket.remoteAddress === undefined;
    });
  }

  /** Reads no more of the current answer until `resumeReading`. */
  pauseReading(): void {
    this.#reads?.hold();
  }

  resumeReading(): void {
    this.#reads?.release();
  }

  /** Records that the head of the current answer has been parsed. */
  recordHead(): void {
    this.#overhead?.recordHead();
  }

  /** Records bytes of the current answer's body: what comes beside it is bounded. */
  recordBody(bytes: number): void {
    this.#overhead?.recordBody(bytes);
  }

  /** Whether the connection has carried no request before the current one. */
  get isFirstRequest(): boolean {
    return this.earlierRequests === 0;
  }

  /** Number of requests that the connection has carried before the current one. */
  get earlierRequests(): number {
    return Math.max(0, this.#requestCount - 1);
  }

  /** Records that the connection is to carry an attempt. */
  recordAttempt(attemptId: string): void {
    this.#attempts.add(attemptId);
  }

  /** Returns whether the connection has lately carried an attempt with this id, or carries it now. */
  hasCarried(attemptId: string): boolean {
    return this.#attempts.has(attemptId);
  }

  /** Records that the server has rejected an attempt on this connection. */
  recordRejection(attemptId: string): void {
    this.#rejectedAttempts.add(attemptId);
  }

  /**
   * Returns whether a request may be sent on this connection. The server may send a rejection again, which would be taken for the answer to a
   * later attempt with the same id.
   */
  mayCarry(attemptId: string | null): boolean {
    return attemptId === null || !this.#rejectedAttempts.has(attemptId);
  }

  /** Whether the connection has carried as many rejections as it remembers. */
  get isExhausted(): boolean {
    return this.#rejectedAttempts.size >= MAX_REJECTIONS_PER_CONNECTION;
  }

  /** Sends a request. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.#requestCount += 1;
    this.#overhead?.begin();
    this.client.dispatch(options, handler);
  }
}

/** The connections to one address. */
class ConnectionPool {
  readonly idleConnections: ServerConnection[] = [];
  openCount = 0;
}

export class ServerConnections {
  readonly #barrier: ConnectBarrier;
  readonly #connector: Connector;
  readonly #maxPerAddress: number;
  readonly #pools = new Map<Address, ConnectionPool>();

  /** @param connectTimeout in milliseconds */
  constructor(
    barrier: ConnectBarrier,
    maxPerAddress = MAX_CONNECTIONS_PER_SERVER,
    connectTimeout = DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
  ) {
    this.#barrier = barrier;
    this.#connector = buildResettingConnector({ timeout: connectTimeout });
    this.#maxPerAddress = maxPerAddress;
  }

  /**
   * Returns a connection for one request, or why there is none.
   *
   * @param attemptId the id by which an answer names the request; null: answers name none
   */
  acquire(address: Address, attemptId: string | null = null): Result<ServerConnection, NoConnection> {
    return this.#take(address, attemptId).map((connection) => {
      if (attemptId !== null) {
        connection.recordAttempt(attemptId);
      }
      return connection;
    });
  }

  #take(address: Address, attemptId: string | null): Result<ServerConnection, NoConnection> {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new ConnectionPool();
      this.#pools.set(address, pool);
    }
    const usable = pool.idleConnections.findLastIndex((connection) => connection.mayCarry(attemptId));
    if (usable >= 0) {
      return ok(pool.idleConnections.splice(usable, 1)[0] as ServerConnection);
    }
    if (pool.openCount >= this.#maxPerAddress) {
      const unusable = pool.idleConnections.shift();
      if (unusable === undefined) {
        return err({ isFull: true, reason: 'too many connections are open' });
      }
      this.release(address, unusable, false);
    }
    return this.#create(address).map((connection) => {
      pool.openCount += 1;
      return connection;
    });
  }

  #create(address: Address): Result<ServerConnection, NoConnection> {
    try {
      return ok(new ServerConnection(address, this.#barrier, this.#connector));
    } catch (cause) {
      return err({ isFull: false, reason: cause instanceof Error ? cause.message : String(cause) });
    }
  }

  /** Returns a connection to its pool, or closes it if it must not be reused. */
  release(address: Address, connection: ServerConnection, reusable: boolean): void {
    const pool = this.#pools.get(address);
    if (pool !== undefined && reusable && !connection.isExhausted) {
      pool.idleConnections.push(connection);
      return;
    }
    if (pool !== undefined) {
      pool.openCount -= 1;
    }
    void connection.client.destroy();
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: Address): void {
    const pool = this.#pools.get(address);
    for (const connection of pool?.idleConnections.splice(0) ?? []) {
      this.release(address, connection, false);
    }
  }

  /** Closes every idle connection. */
  close(): void {
    for (const address of this.#pools.keys()) {
      this.closeIdle(address);
    }
  }
}
