/** A server as the platform's pages describe it, for the soak: runs requests, holds keys by grants, and says what it saw. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Grant {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly until: number;
}

/** What servers tell the checks. */
export interface ServerObserver {
  /** A request arrived; whether it is run. */
  onArrival(server: ServerStandIn, attemptId: string, runs: boolean): void;
  /** An answer goes out. */
  onAnswer(server: ServerStandIn, attemptId: string): void;
  /** A request is about to end the server that runs it. */
  onDeadly(server: ServerStandIn, attemptId: string): void;
  /** A grant was taken. */
  onGrant(server: ServerStandIn, from: number, to: number): void;
}

const WORK_MILLISECONDS = 15;
/** Requests with this in their path take this long. */
export const SLOW_MARK = 'slow';
const SLOW_WORK_MILLISECONDS = 1_500;
/** Requests with this in their path end each server that runs them. */
export const DEADLY_MARK = 'deadly';

export class ServerStandIn {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly keyed: boolean;
  /** Unix milliseconds of its start, if it says so. */
  born: number | null = null;
  /** Its answers say that it leaves. */
  leaves = false;
  /** It rejects each request and asks for so much rest; null: it takes them. */
  restSeconds: number | null = null;
  /** What it names as its limit in every answer; null: nothing. */
  limit: string | null = null;
  /** Requests that it works on, and whose connection is open. */
  readonly working = new Set<string>();
  #address = '';
  #grants: Grant[] = [];
  #highestFence: { from: number; to: number; fence: number }[] = [];
  readonly #observer: ServerObserver;
  readonly #server: Server;

  constructor(id: string, service: string, zone: string, keyed: boolean, observer: ServerObserver) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.keyed = keyed;
    this.#observer = observer;
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) =>
      this.#receive(request, response),
    );
  }

  get address(): string {
    return this.#address;
  }

  get port(): number {
    return Number(this.#address.split(':')[1]);
  }

  get isResting(): boolean {
    return this.restSeconds !== null;
  }

  /** Its process has ended: it holds nothing, and connections to it are refused. */
  crash(): void {
    this.#grants = [];
    this.stop();
  }

  /** Listens at a port, or at any. */
  async start(port = 0): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Whether it holds any key of a range now. */
  holdsAnyOf(from: number, to: number): boolean {
    const now = performance.now();
    return this.#grants.some((grant) => grant.until > now && grant.from <= to && from <= grant.to);
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      if (request.url === '/health') {
        response.writeHead(200, { 'fennelferry-instance-id': this.id, ...this.#notice() }).end();
      } else if (request.url === '/api/grant') {
        this.#grant(response, JSON.parse(body) as GrantBody);
      } else if (request.url === '/api/release') {
        this.#release(response, JSON.parse(body) as GrantBody);
      } else {
        this.#run(request, response);
      }
    });
  }

  #grant(response: ServerResponse, { from, targetVersion: to, fence, holdS }: GrantBody): void {
    const isPast = this.#highestFence.some(
      (seen) => seen.from <= to && from <= seen.to && seen.fence > fence,
    );
    if (isPast) {
      response.writeHead(409, this.#notice()).end();
      return;
    }
    this.#highestFence.push({ from, to, fence });
    this.#grants = [
      ...this.#without(from, to),
      { from, to, fence, until: performance.now() + (holdS ?? 0) * 1_000 },
    ];
    this.#observer.onGrant(this, from, to);
    response.writeHead(200, this.#notice()).end();
  }

  #release(response: ServerResponse, { from, targetVersion: to, fence }: GrantBody): void {
    this.#highestFence.push({ from, to, fence });
    this.#grants = this.#without(from, to);
    response.writeHead(200, { 'fennelferry-handover': 'h', ...this.#notice() }).end();
  }

  /** What is left of the grants without a range. */
  #without(from: number, to: number): Grant[] {
    return this.#grants
      .flatMap((grant) => [
        { ...grant, to: Math.min(grant.to, from - 1) },
        { ...grant, from: Math.max(grant.from, to + 1) },
      ])
      .filter((grant) => grant.from <= grant.to);
  }

  #notice(): Record<string, string> {
    return {
      ...(this.leaves ? { 'Server-Leaving': '1' } : {}),
      ...(this.limit === null ? {} : { 'Server-Limit': this.limit }),
    };
  }

  #run(request: IncomingMessage, response: ServerResponse): void {
    const attemptId = String(request.headers['fennelferry-attempt-id'] ?? '');
    const isOther = request.headers['fennelferry-expect-instance'] !== this.id;
    const key = Number(request.headers['fennelferry-shard-key']);
    const isHeld = !isOther && (!this.keyed || this.holdsAnyOf(key, key));
    const runs = isHeld && !this.isResting;
    this.#observer.onArrival(this, attemptId, runs);
    if (isHeld && this.restSeconds !== null) {
      const headers = { 'fennelferry-not-executed': '1', 'retry-after': String(this.restSeconds) };
      response.writeHead(503, { ...headers, ...this.#notice() }).end();
      this.#observer.onAnswer(this, attemptId);
      return;
    }
    if (!runs) {
      const headers = { 'fennelferry-not-executed': '1', 'fennelferry-instance-id': this.id };
      response.writeHead(421, { ...headers, ...this.#notice() }).end();
      return;
    }
    this.working.add(attemptId);
    response.on('close', () => this.working.delete(attemptId));
    const isSlow = request.url?.includes(SLOW_MARK) === true;
    setTimeout(
      () => {
        if (request.url?.includes(DEADLY_MARK) === true) {
          this.#observer.onDeadly(this, attemptId);
          return;
        }
        const headers = { 'fennelferry-attempt-id': attemptId, 'fennelferry-server-seal': this.id };
        response.writeHead(200, { ...headers, ...this.#notice() }).end(this.id);
        this.#observer.onAnswer(this, attemptId);
      },
      isSlow ? SLOW_WORK_MILLISECONDS : WORK_MILLISECONDS,
    );
  }
}

interface GrantBody {
  readonly from: number;
  readonly targetVersion: number;
  readonly fence: number;
  readonly holdS?: number;
}
