/**
 * Calls of a daemon to servers other than callers' requests: grants, releases and probes. They use the same connections code as requests,
 * which is compiled by the time at which a daemon becomes the leader and has to call every owner within a second.
 */
import { PROCESS_POLL_BARRIER } from '../event-loop/poll-barrier.js';
import type { Address } from '../router/model/address.js';
import type { Milliseconds } from '../router/model/identifiers.js';
import { NotSentError } from '../errors.js';
import { isRefusedByClient } from './client-errors.js';
import { containedHead } from './response-reader.js';
import { ServerConnections, type ServerConnection } from './server-connections.js';

/** Shorter than the timeout of a grant, so that a server that accepts no connection is told from one that does not respond. */
const CONNECT_TIMEOUT: Milliseconds = 280;
/** Time from the head of a response until its end. */
const TRANSFER_TIMEOUT: Milliseconds = 1_500;
const CONNECTIONS_PER_SERVER = 24;
const FIRST_FINAL_STATUS = 200;
const MAX_BODY_BYTES = 64 * 1024;

/** A call to a server. */
export interface ControlRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: string[];
  readonly body: string | null;
}

/** The head of a complete response. */
export interface ControlResponse {
  readonly status: number;
  readonly rawHeaders: string[];
}

/** No caller waits for these calls, so that a new connection need not wait for a poll of the callers' connections. */
const NO_BARRIER = { whenRecentlyPolled: (action: () => void): void => action() };

export class ControlConnections {
  readonly #connections = new ServerConnections(NO_BARRIER, CONNECTIONS_PER_SERVER, CONNECT_TIMEOUT);

  /**
   * Makes a call. Rejects if no response begins within the timeout. The connection of such a call is reset, so that it can't arrive later,
   * and idle ones to the address are closed: a network failure can make all open connections unresponsive.
   */
  request(address: Address, request: ControlRequest, timeout: Milliseconds): Promise<ControlResponse> {
    const acquired = this.#connections.acquire(address);
    if (acquired.isErr()) {
      return Promise.reject(new NotSentError('call a server', address, acquired.error.reason));
    }
    const connection = acquired.value;
    return new Promise((resolve, reject) => {
      new ControlCall(connection, {
        onResponse: (response) => {
          this.#connections.release(address, connection, true);
          resolve(response);
        },
        onFailure: (error, hasTimedOut) => {
          this.#connections.release(address, connection, false);
          if (hasTimedOut) {
            this.#connections.closeIdle(address);
          }
          const isRefused = isRefusedByClient(error);
          reject(isRefused ? new NotSentError('call a server', address, error.message) : error);
        },
      }).start(request, timeout);
    });
  }

  /** Closes idle connections. */
  close(): void {
    this.#connections.close();
  }
}

/** Receives the result of a call, once. */
interface ControlCallListener {
  onResponse(response: ControlResponse): void;
  onFailure(error: Error, hasTimedOut: boolean): void;
}

class ControlCall {
  readonly #connection: ServerConnection;
  readonly #listener: ControlCallListener;
  #timer: NodeJS.Timeout | undefined;
  #response: ControlResponse | null = null;
  #abort: ((reason?: Error) => void) | null = null;
  #bodyBytes = 0;
  #isOver = false;

  constructor(connection: ServerConnection, listener: ControlCallListener) {
    this.#connection = connection;
    this.#listener = listener;
  }

  start({ method, path, headers, body }: ControlRequest, timeout: Milliseconds): void {
    this.#startTimer(timeout);
    this.#connection.dispatch(
      { method, path, headers, body },
      {
        onConnect: (abort) => this.#onConnect(abort),
        onHeaders: (status, raw, _resume, text) => this.#onHeaders(status, raw, text),
        onData: (chunk) => this.#onData(chunk),
        onComplete: () => this.#onComplete(),
        onError: (error) => this.#fail(error, false),
      },
    );
  }

  /** Ends the call at its timeout: at once if it has not been written, otherwise after a poll, since a response may still be unread. */
  #startTimer(timeout: Milliseconds): void {
    const expire = (): void => this.#fail(new Error(`no answer within ${timeout} ms`), true);
    this.#timer = setTimeout(() => {
      if (this.#abort === null) {
        expire();
      } else {
        PROCESS_POLL_BARRIER.afterPoll(expire);
      }
    }, timeout).unref();
  }

  /** The call is written to the connection from here on, unless it is over. */
  #onConnect(abort: (reason?: Error) => void): void {
    if (this.#isOver) {
      abort(new Error('the call has timed out'));
    } else {
      this.#abort = abort;
    }
  }

  #onHeaders(status: number, raw: Buffer[], statusText: string): boolean {
    if (status < FIRST_FINAL_STATUS || this.#isOver) {
      return true;
    }
    this.#connection.recordHead();
    const rawHeaders = raw.map((part) => part.toString('latin1'));
    const problem = containedHead(statusText, rawHeaders);
    if (problem !== null) {
      this.#fail(new Error(problem.reason), false);
      return true;
    }
    this.#response = { status, rawHeaders };
    clearTimeout(this.#timer);
    this.#startTimer(TRANSFER_TIMEOUT);
    return true;
  }

  /** Discards the body: the head has said all. */
  #onData(chunk: Buffer): boolean {
    this.#connection.recordBody(chunk.length);
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes > MAX_BODY_BYTES) {
      this.#fail(new Error(`an answer to a control call with more than ${MAX_BODY_BYTES} bytes`), false);
    }
    return true;
  }

  #onComplete(): void {
    if (!this.#isOver && this.#response !== null) {
      this.#end();
      this.#listener.onResponse(this.#response);
    }
  }

  #fail(error: Error, hasTimedOut: boolean): void {
    if (!this.#isOver) {
      this.#end();
      this.#abort?.(error);
      this.#listener.onFailure(error, hasTimedOut);
    }
  }

  #end(): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
  }
}
