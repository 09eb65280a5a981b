/** A frontend on loopback with a scripted reducer, and callers that pipeline requests and decide when they read. */
import { listenOnLoopback, toAddress } from './addresses.js';
import { throwFailure } from './throw-failure.js';
import { createConnection, type AddressInfo, type Socket } from 'node:net';
import { REQUEST_PROTOCOL } from '../../platform/protocol.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import type { RouterEvent } from '../../src/router/events.js';
import { CallerFrontend } from '../../src/router-runtime/caller-frontend.js';
import type { CallerFrontendOptions } from '../../src/router-runtime/caller-frontend-options.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';
import { type ExecutionStatement, NO_ATTEMPT } from '../../src/router/request/request-execution.js';

type ArrivedEvent = Extract<RouterEvent, { kind: 'requestArrived' }>;
type EndedEvent = Extract<RouterEvent, { kind: 'attemptEnded' }>;
type LeftEvent = Extract<RouterEvent, { kind: 'callerLeft' }>;

const POLL_INTERVAL_MILLISECONDS = 10;

/** Resolves after a time in milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits until a condition holds, and returns whether it did within `timeout` milliseconds. */
export async function until(condition: () => boolean, timeout: number): Promise<boolean> {
  const end = performance.now() + timeout;
  while (!condition() && performance.now() < end) {
    await pause(POLL_INTERVAL_MILLISECONDS);
  }
  return condition();
}

/** A GET request for `/NAME`, with NAME as its attempt id. */
export function get(name: string): string {
  return `GET /${name} HTTP/1.1\r\nHost: h.example\r\nFennelferry-Attempt-Id: ${name}\r\n\r\n`;
}

/** A POST request for `/NAME` with a body. */
export function post(name: string, body: string): string {
  const head = `POST /${name} HTTP/1.1\r\nHost: h.example\r\nFennelferry-Attempt-Id: ${name}\r\n`;
  return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** A caller's connection. */
export class TestCaller {
  readonly socket: Socket;
  isClosed = false;
  /** How the daemon ended the connection: in order, or with the error that the caller saw; null: it has not. */
  ending: string | null = null;
  readonly #chunks: Buffer[] = [];

  /** @param reads whether the caller reads from the start */
  constructor(port: number, reads: boolean) {
    this.socket = createConnection({ host: '127.0.0.1', port });
    this.socket.on('end', () => (this.ending = 'in order'));
    this.socket.on('error', (error: NodeJS.ErrnoException) => (this.ending = error.code ?? error.message));
    this.socket.on('close', () => (this.isClosed = true));
    if (reads) {
      this.read();
    }
  }

  /** Starts to read. */
  read(): void {
    this.socket.on('data', (chunk: Buffer) => this.#chunks.push(chunk));
  }

  get text(): string {
    return Buffer.concat(this.#chunks).toString('latin1');
  }

  /** Statuses of the responses in the order in which they arrived. */
  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => Number(status));
  }

  /** Attempt ids that the responses name, in the order in which they arrived. */
  get answered(): string[] {
    return [...this.text.matchAll(/Fennelferry-Attempt-Id: (\S+)/g)].map(([, id]) => id as string);
  }
}

export class FrontendFixture {
  readonly frontend: CallerFrontend;
  readonly events: RouterEvent[] = [];
  /** What the reducer does with a request that has arrived: by default it sends it to the server. */
  onArrival: (event: ArrivedEvent) => void;
  /** What the reducer does when an attempt has ended: by default nothing. */
  onAttemptEnded: (event: EndedEvent) => void = () => undefined;
  readonly #serverAddress: string;
  readonly #connections: ServerConnections;
  readonly #proxyConnections: ServerConnections;
  readonly #callers: TestCaller[] = [];

  private constructor(serverAddress: string, options: Partial<CallerFrontendOptions>) {
    const barrier = new PollBarrier();
    this.#serverAddress = serverAddress;
    this.#connections = new ServerConnections(barrier);
    this.#proxyConnections = new ServerConnections(barrier);
    this.onArrival = (event) => this.forward(event);
    this.frontend = new CallerFrontend({
      protocol: REQUEST_PROTOCOL,
      connections: this.#connections,
      proxyConnections: this.#proxyConnections,
      barrier,
      dispatch: (event) => this.#onEvent(event),
      loop: { readDelay: () => 0, isOnTime: () => true },
      longestReadDelay: () => null,
      isWriteAllowed: () => true,
      onFailure: throwFailure,
      ...options,
    });
  }

  static async start(
    serverAddress: string,
    options: Partial<CallerFrontendOptions> = {},
  ): Promise<FrontendFixture> {
    const fixture = new FrontendFixture(serverAddress, options);
    await listenOnLoopback(fixture.frontend.server);
    return fixture;
  }

  connect(reads = true): TestCaller {
    const { port } = this.frontend.server.address() as AddressInfo;
    const caller = new TestCaller(port, reads);
    this.#callers.push(caller);
    return caller;
  }

  /** Sends a request to the server. */
  forward({ requestId }: Pick<ArrivedEvent, 'requestId'>, attempt = 1): void {
    this.frontend.attempts.forward({
      kind: 'forward',
      requestId,
      attempt,
      server: 'i-1',
      address: toAddress(this.#serverAddress),
      timeLeft: 30_000,
      buffer: true,
      isLimited: false,
      repeatable: false,
    });
  }

  /** Refuses a request. */
  refuse({ requestId }: Pick<ArrivedEvent, 'requestId'>): void {
    this.#answer(requestId, 503, 'refused by the test', NO_ATTEMPT);
  }

  /** Ends a request that a server may have run. */
  fail({ requestId }: Pick<ArrivedEvent, 'requestId'>): void {
    this.#answer(requestId, 502, 'given up by the test', { mayHaveRun: true });
  }

  #answer(requestId: number, status: number, reason: string, execution: ExecutionStatement): void {
    this.frontend.answer({
      kind: 'answer',
      requestId,
      status,
      reason,
      retryAfter: null,
      execution,
      attempts: 0,
      isPathLost: false,
    });
  }

  /** Attempt ids of the requests that have arrived at the reducer. */
  get arrived(): string[] {
    return this.events.filter((event) => event.kind === 'requestArrived').map(({ attemptId }) => attemptId);
  }

  /** Results of all attempts, in the order in which they ended. */
  get results(): EndedEvent['result'][] {
    return this.events.filter((event) => event.kind === 'attemptEnded').map(({ result }) => result);
  }

  /** Events that report that a caller has left. */
  get left(): LeftEvent[] {
    return this.events.filter((event) => event.kind === 'callerLeft');
  }

  close(): void {
    this.#callers.forEach(({ socket }) => socket.destroy());
    this.#connections.close();
    this.#proxyConnections.close();
    this.frontend.closeIdle();
    this.frontend.closeAll();
  }

  #onEvent(event: RouterEvent): void {
    this.events.push(event);
    if (event.kind === 'requestArrived') {
      this.onArrival(event);
    }
    if (event.kind === 'attemptEnded') {
      this.onAttemptEnded(event);
    }
  }
}
