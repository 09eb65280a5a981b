/**
 * Two frontends on loopback: one sends every request of its callers to the other as a proxy, which sends it to a server. What the
 * reducers would decide is scripted.
 */
import { listenOnLoopback, toAddress } from './addresses.js';
import { throwFailure } from './throw-failure.js';
import { createConnection, type AddressInfo, type Socket } from 'node:net';
import { REQUEST_PROTOCOL } from '../../platform/protocol.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import type { RouterEvent } from '../../src/router/events.js';
import { CallerFrontend } from '../../src/router-runtime/caller-frontend.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';

/** Time left until the deadline when the origin sends a request to the proxy, in milliseconds. */
export const TIME_LEFT = 500;
export const ORIGIN = { daemon: 'd1', service: 'logs', attempts: 1, age: 20 };

type ArrivedEvent = Extract<RouterEvent, { kind: 'requestArrived' }>;
type EndedEvent = Extract<RouterEvent, { kind: 'attemptEnded' }>;

function portOf(address: AddressInfo | string | null): number {
  return (address as AddressInfo).port;
}

export class ProxiedFrontends {
  readonly origin: CallerFrontend;
  readonly proxy: CallerFrontend;
  readonly originEvents: RouterEvent[] = [];
  readonly proxyEvents: RouterEvent[] = [];
  /** What the proxy does with a request that has arrived: by default it sends it to the server. */
  onArrivalAtProxy: (event: ArrivedEvent) => void;
  readonly #serverAddress: string;
  readonly #barrier = new PollBarrier();
  readonly #pools: ServerConnections[] = [];
  readonly #sockets: Socket[] = [];

  private constructor(serverAddress: string) {
    this.#serverAddress = serverAddress;
    this.onArrivalAtProxy = (event) => this.#forwardToServer(event);
    this.origin = this.#createFrontend((event) => this.#onOriginEvent(event));
    this.proxy = this.#createFrontend((event) => this.#onProxyEvent(event));
  }

  static async start(serverAddress: string): Promise<ProxiedFrontends> {
    const frontends = new ProxiedFrontends(serverAddress);
    await listenOnLoopback(frontends.origin.server);
    await listenOnLoopback(frontends.proxy.server);
    await listenOnLoopback(frontends.proxy.proxyServer);
    return frontends;
  }

  /** Results of the attempts at the proxy, as the origin's reducer gets them. */
  get resultsAtOrigin(): EndedEvent['result'][] {
    return this.originEvents.filter((event) => event.kind === 'attemptEnded').map(({ result }) => result);
  }

  /** Opens a connection of a caller to the origin and sends bytes on it. */
  connect(bytes: string): Socket {
    const socket = createConnection({ host: '127.0.0.1', port: portOf(this.origin.server.address()) });
    socket.on('error', () => undefined);
    socket.write(bytes, 'latin1');
    this.#sockets.push(socket);
    return socket;
  }

  /** Sends bytes to the origin, and returns what is received until the connection closes or `isDone`, and whether it was reset. */
  async exchange(
    bytes: string,
    isDone: (text: string) => boolean = () => false,
  ): Promise<{ text: string; isReset: boolean }> {
    const socket = this.connect(bytes);
    const chunks: Buffer[] = [];
    let isReset = false;
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (isDone(Buffer.concat(chunks).toString('latin1'))) {
        socket.destroy();
      }
    });
    await new Promise((resolve) => socket.once('close', resolve));
    return { text: Buffer.concat(chunks).toString('latin1'), isReset };
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#pools.forEach((pool) => pool.close());
    for (const frontend of [this.origin, this.proxy]) {
      frontend.closeIdle();
      frontend.closeAll();
    }
  }

  #createFrontend(dispatch: (event: RouterEvent) => void): CallerFrontend {
    const connections = new ServerConnections(this.#barrier);
    const proxyConnections = new ServerConnections(this.#barrier);
    this.#pools.push(connections, proxyConnections);
    return new CallerFrontend({
      protocol: REQUEST_PROTOCOL,
      connections,
      proxyConnections,
      barrier: this.#barrier,
      dispatch,
      loop: { readDelay: () => 0, isOnTime: () => true },
      longestReadDelay: () => null,
      isWriteAllowed: () => true,
      onFailure: throwFailure,
    });
  }

  #onOriginEvent(event: RouterEvent): void {
    this.originEvents.push(event);
    if (event.kind === 'requestArrived') {
      this.origin.attempts.forwardToProxy({
        kind: 'forwardToProxy',
        requestId: event.requestId,
        attempt: 1,
        address: toAddress(`127.0.0.1:${portOf(this.proxy.proxyServer.address())}`),
        timeLeft: TIME_LEFT,
        origin: ORIGIN,
      });
    }
  }

  #onProxyEvent(event: RouterEvent): void {
    this.proxyEvents.push(event);
    if (event.kind === 'requestArrived') {
      this.onArrivalAtProxy(event);
    }
  }

  #forwardToServer({ requestId, callerTimeout }: ArrivedEvent): void {
    this.proxy.attempts.forward({
      kind: 'forward',
      requestId,
      attempt: 1,
      server: 'i-1',
      address: toAddress(this.#serverAddress),
      timeLeft: callerTimeout ?? 0,
      buffer: true,
      isLimited: false,
      repeatable: true,
    });
  }
}
