/**
 * An emulated upstream server over HTTP with concurrency slots, a connection limit, fenced grants with leases
 * on its own clock, draining, cold start, load shedding, cancellation, and load reports that can be wrong.
 *
 * - `POST /fennelferry/control`: a control request of a shard leader.
 * - `PUT /emulator/behaviour`: changes the server's behaviour at run time.
 * - `GET /emulator/runs`: how often the server ran each request id.
 * - `GET /health` and `GET /load`: health and reported load.
 * - Any other path: a caller's request.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import * as z from 'zod';
import type { FencingToken } from '../core/effects.js';
import { decodeControlRequest, encodeControlReply } from '../wire/control-codec.js';
import { EPOCH_HEADER, GROUP_HEADER, REFUSAL_HEADER, UNIT_HEADER } from '../wire/headers.js';
import { splitAddress } from '../settings/address.js';
import { ServerModel, type RequestRefusal } from './server-model.js';

/** Behaviour of an emulated server. */
export interface ServerBehaviour {
  /** Maximum number of requests that run at once. */
  readonly concurrency: number;
  /** Maximum number of requests that wait for a slot; further requests are shed. */
  readonly queue: number;
  readonly connections: number;
  /** Time that one request takes to run. */
  readonly serviceMilliseconds: number;
  /** Factor by which the service time is multiplied. */
  readonly slowness: number;
  /** Extra service time of the first `coldRequests` requests after a start. */
  readonly coldStartMilliseconds: number;
  readonly coldRequests: number;
  /** Number added to the reported load; a negative number under-reports the load. */
  readonly reportedLoadOffset: number;
  readonly leaving: boolean;
}

export const DEFAULT_BEHAVIOUR: ServerBehaviour = {
  concurrency: 2,
  queue: 32,
  connections: 130,
  serviceMilliseconds: 2,
  slowness: 1,
  coldStartMilliseconds: 10,
  coldRequests: 5,
  reportedLoadOffset: 0,
  leaving: false,
};

/**
 * Responds without delay and sheds only under extreme load, so that a benchmark measures the router alone.
 */
export const INSTANT_BEHAVIOUR: ServerBehaviour = {
  ...DEFAULT_BEHAVIOUR,
  concurrency: 1_000,
  queue: 1_000,
  serviceMilliseconds: 0,
  coldStartMilliseconds: 0,
};

const behaviourSchema = z
  .strictObject({
    concurrency: z.number().int().min(1),
    queue: z.number().int().min(0),
    connections: z.number().int().min(1),
    serviceMilliseconds: z.number().min(0),
    slowness: z.number().min(0),
    coldStartMilliseconds: z.number().min(0),
    coldRequests: z.number().int().min(0),
    reportedLoadOffset: z.number(),
    leaving: z.boolean(),
  })
  .partial();

const MAX_RECORDED_RUNS = 200_000;

interface QueuedRequest {
  readonly start: () => void;
}

/** One emulated server. */
export class ServerProcess {
  readonly id: string;
  readonly #model = new ServerModel(Date.now());
  readonly #runs = new Map<string, number>();
  readonly #queue: QueuedRequest[] = [];
  #behaviour: ServerBehaviour;
  #running = 0;
  #served = 0;
  readonly #server = createServer((request, response) => void this.#handle(request, response));

  constructor(id: string, behaviour: ServerBehaviour = DEFAULT_BEHAVIOUR) {
    this.id = id;
    this.#behaviour = behaviour;
  }

  /** Starts to listen. Resolves when the server is listening. */
  async start(address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    // Control requests and manual requests need connections in addition to the budget that daemons share.
    this.#server.maxConnections = this.#behaviour.connections + 8;
    await new Promise<void>((resolve) => this.#server.listen(port, host, resolve));
  }

  /** Closes the server and all its connections at once. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0];
    if (path === '/fennelferry/control') {
      this.#control(await readBody(request), response);
    } else if (path === '/emulator/behaviour') {
      this.#changeBehaviour(await readBody(request), response);
    } else if (path === '/emulator/runs') {
      sendJson(response, 200, Object.fromEntries(this.#runs));
    } else if (path === '/health') {
      sendJson(response, 200, { healthy: true, leaving: this.#behaviour.leaving });
    } else if (path === '/load') {
      sendJson(response, 200, {
        load: this.#running + this.#queue.length + this.#behaviour.reportedLoadOffset,
      });
    } else {
      this.#serve(request, response);
    }
  }

  #control(text: string, response: ServerResponse): void {
    const reply = this.#model.control(decodeControlRequest(text), performance.now());
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(encodeControlReply(reply));
  }

  #changeBehaviour(text: string, response: ServerResponse): void {
    const parsed = behaviourSchema.safeParse(JSON.parse(text));
    if (!parsed.success) {
      sendJson(response, 400, { error: parsed.error.message });
      return;
    }
    this.#behaviour = { ...this.#behaviour, ...(parsed.data as Partial<ServerBehaviour>) };
    this.#model.draining = this.#behaviour.leaving;
    sendJson(response, 200, this.#behaviour);
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const token = fencingTokenFrom(request);
    const refusal = this.#queue.length >= this.#behaviour.queue ? 'overloaded' : null;
    const finalRefusal = refusal ?? this.#model.admit(token, performance.now());
    if (finalRefusal !== null) {
      sendRefusal(request, response, finalRefusal);
      return;
    }
    let callerDisconnected = false;
    response.once('close', () => (callerDisconnected = !response.writableFinished));
    const start = (): void => {
      if (callerDisconnected) {
        this.#model.finish(token);
        this.#startNext();
        return;
      }
      this.#running += 1;
      const serviceTime = this.#serviceTime();
      if (serviceTime === 0) {
        this.#complete(request, response, token);
      } else {
        setTimeout(() => this.#complete(request, response, token), serviceTime);
      }
    };
    if (this.#running < this.#behaviour.concurrency) {
      start();
    } else {
      this.#queue.push({ start });
    }
  }

  #serviceTime(): number {
    this.#served += 1;
    const { serviceMilliseconds, slowness, coldStartMilliseconds, coldRequests } = this.#behaviour;
    const cold = this.#served <= coldRequests ? coldStartMilliseconds : 0;
    return serviceMilliseconds * slowness + cold;
  }

  #startNext(): void {
    if (this.#running < this.#behaviour.concurrency) {
      this.#queue.shift()?.start();
    }
  }

  #complete(request: IncomingMessage, response: ServerResponse, token: FencingToken | null): void {
    const mayRun = this.#model.mayTakeEffect(token, performance.now());
    this.#model.finish(token);
    this.#running -= 1;
    this.#startNext();
    if (!mayRun) {
      sendRefusal(request, response, 'lease-lapsed');
      return;
    }
    const requestId = String(request.headers['x-request-id'] ?? '');
    if (requestId !== '' && this.#runs.size < MAX_RECORDED_RUNS) {
      this.#runs.set(requestId, (this.#runs.get(requestId) ?? 0) + 1);
    }
    void this.#answer(request, response, token, requestId);
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
    token: FencingToken | null,
    requestId: string,
  ): Promise<void> {
    let bodyBytes = 0;
    for await (const chunk of request) {
      bodyBytes += (chunk as Buffer).length;
    }
    const { method, url } = request;
    sendJson(response, 200, { server: this.id, method, url, token, requestId, bodyBytes });
  }
}

function fencingTokenFrom(request: IncomingMessage): FencingToken | null {
  const unit = request.headers[UNIT_HEADER];
  const epoch = request.headers[EPOCH_HEADER];
  if (unit === undefined || epoch === undefined) {
    return null;
  }
  return { group: String(request.headers[GROUP_HEADER] ?? ''), unit: Number(unit), epoch: Number(epoch) };
}

function sendRefusal(request: IncomingMessage, response: ServerResponse, refusal: RequestRefusal): void {
  request.resume();
  response.setHeader(REFUSAL_HEADER, refusal);
  sendJson(response, refusal === 'overloaded' ? 503 : 409, { refusal });
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
