/**
 * Connections to upstream servers: for each server, one for control calls and a bounded pool for requests.
 */
import { Pool, type Dispatcher } from 'undici';
import type { ControlReply, ControlRequest } from '../core/server-control.js';
import { buildReportingConnector } from '../http-client/reset-reports.js';
import { decodeControlReply, encodeControlRequest } from '../wire/control-codec.js';

const CONTROL_PATH = '/fennelferry/control';
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const KEEP_ALIVE_MILLISECONDS = 30_000;

/** An HTTP client for upstream servers, which it identifies by address. */
export class ServerClient {
  readonly #controlPools = new Map<string, Pool>();
  readonly #requestPools = new Map<string, Pool>();

  /**
   * Makes a control call with a timeout in milliseconds. Resolves with null when no valid reply arrives in
   * time.
   */
  async control(address: string, request: ControlRequest, timeout: number): Promise<ControlReply | null> {
    try {
      const response = await this.#poolFor(this.#controlPools, address, 1).request({
        method: 'POST',
        path: CONTROL_PATH,
        headers: { 'content-type': 'application/json' },
        body: encodeControlRequest(request),
        signal: AbortSignal.timeout(timeout),
      });
      return decodeControlReply(await response.body.text());
    } catch {
      return null;
    }
  }

  /** Sends a request over the server's connection pool. Rejects if none can be created. */
  async request(
    address: string,
    connections: number,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<Dispatcher.ResponseData> {
    return this.#poolFor(this.#requestPools, address, connections).request(options);
  }

  /** Closes every connection. */
  close(): void {
    for (const pool of [...this.#controlPools.values(), ...this.#requestPools.values()]) {
      void pool.destroy();
    }
  }

  #poolFor(pools: Map<string, Pool>, address: string, connections: number): Pool {
    let pool = pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections,
        pipelining: 1,
        connect: buildReportingConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS }),
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        // No timeouts here: the reducer sets the deadline of each request and cancels it.
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      pools.set(address, pool);
    }
    return pool;
  }
}
