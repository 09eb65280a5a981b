/**
 * Connections to back-end servers: one for control calls, a bounded pool for requests.
 */
import { Pool, type Dispatcher } from 'undici';
import { z } from 'zod';
import type { ControlReply, ControlRequest } from '../core/server-control.js';

const CONTROL_PATH = '/fennelferry/control';
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const KEEP_ALIVE_MILLISECONDS = 30_000;

const unitEpochSchema = z.object({ unit: z.number(), epoch: z.number() });
const replySchema = z.object({
  sequence: z.number(),
  serverIncarnation: z.number(),
  clock: z.number(),
  refusal: z.enum(['older-leader', 'other-incarnation']).nullable(),
  lapseCount: z.number(),
  granted: z.array(unitEpochSchema),
  staleGrants: z.array(unitEpochSchema),
  revoked: z.array(unitEpochSchema),
  inventory: z.array(unitEpochSchema).nullable(),
  draining: z.boolean(),
});

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
        body: JSON.stringify(request),
        signal: AbortSignal.timeout(timeout),
      });
      const parsed = replySchema.safeParse(await answer.body.json());
      return parsed.success ? parsed.data : null;
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
