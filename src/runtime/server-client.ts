/**
 * Connections to back-end servers: one for control calls, a bounded pool for requests.
 */
import { Pool, type Dispatcher } from 'undici';
import type { ControlReply, ControlRequest } from '../core/server-control.js';
import { decodeControlReply, encodeControlRequest } from '../wire/control-codec.js';

const CONTROL_PATH = '/fennelferry/control';
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const KEEP_ALIVE_MILLISECONDS = 30_000;

/** Calls servers by address. */
export class ServerClient {
  readonly #control = new Map<string, Pool>();
  readonly #requests = new Map<string, Pool>();

  /** Makes a control call. Resolves with null when no readable answer comes in time. */
  async control(address: string, request: ControlRequest, timeout: number): Promise<ControlReply | null> {
    try {
      const answer = await this.#poolFor(this.#control, address, 1).request({
        method: 'POST',
        path: CONTROL_PATH,
        headers: { 'content-type': 'application/json' },
        body: encodeControlRequest(request),
        signal: AbortSignal.timeout(timeout),
      });
      return decodeControlReply(await answer.body.text());
    } catch {
      return null;
    }
  }

  /** Sends a request over the server's pool. */
  request(
    address: string,
    connections: number,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<Dispatcher.ResponseData> {
    return this.#poolFor(this.#requests, address, connections).request(options);
  }

  /** Closes every connection. */
  close(): void {
    for (const pool of [...this.#control.values(), ...this.#requests.values()]) {
      void pool.destroy();
    }
  }

  #poolFor(pools: Map<string, Pool>, address: string, connections: number): Pool {
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections,
        pipelining: 1,
        connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        // The reducer sets the deadline of each request and cancels it.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      pools.set(address, pool);
    }
    return pool;
  }
}
