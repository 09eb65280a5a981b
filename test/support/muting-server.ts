/** Server whose open connections can become unresponsive without a reset, while new connections work. */
import type { Socket } from 'node:net';
import { RawServer } from './raw-server.js';

/** Writes a response to a request. */
export type Responder = (socket: Socket) => void;

export class MutingServer {
  readonly #server: RawServer;
  readonly #respond: Responder;
  /** Sockets that have received a request. */
  readonly #usedSockets = new Set<Socket>();
  readonly #mutedSockets = new WeakSet<Socket>();
  #heldResponses: (() => void)[] | null = null;

  private constructor(server: RawServer, respond: Responder) {
    this.#server = server;
    this.#respond = respond;
  }

  static async start(respond: Responder): Promise<MutingServer> {
    const server = await RawServer.start((socket) => muting.#receive(socket));
    const muting = new MutingServer(server, respond);
    return muting;
  }

  get address(): string {
    return this.#server.address;
  }

  /** Number of connections accepted so far. */
  get connections(): number {
    return this.#server.connections;
  }

  /** Request lines received so far. */
  get requests(): string[] {
    return this.#server.heads.map((head) => head.split('\r\n')[0] ?? '');
  }

  /** Holds responses back until `requests` requests wait, so that each request needs its own connection. */
  holdResponsesUntil(requests: number): void {
    const heldResponses: (() => void)[] = [];
    this.#heldResponses = heldResponses;
    const release = (): void => {
      if (heldResponses.length >= requests) {
        this.#heldResponses = null;
        heldResponses.forEach((writeResponse) => writeResponse());
      } else {
        setImmediate(release);
      }
    };
    release();
  }

  /** Makes every connection that has received a request unresponsive from now on. */
  muteUsedConnections(): void {
    this.#usedSockets.forEach((socket) => this.#mutedSockets.add(socket));
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  #receive(socket: Socket): void {
    this.#usedSockets.add(socket);
    if (this.#mutedSockets.has(socket)) {
      return;
    }
    if (this.#heldResponses !== null) {
      this.#heldResponses.push(() => this.#respond(socket));
    } else {
      this.#respond(socket);
    }
  }
}
