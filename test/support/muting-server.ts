/** A server whose open connections can go silent without a reset, while new ones work. */
import { createServer, type Server, type Socket } from 'node:net';

/** Writes an answer to a request. */
export type Responder = (socket: Socket) => void;

export class MutingServer {
  /** Connections that were ever accepted. */
  connections = 0;
  /** First lines of the requests. */
  readonly requests: string[] = [];
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();
  #held: (() => void)[] | null = null;

  private constructor(respond: Responder) {
    this.#server = createServer((socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
      socket.on('data', (bytes: Buffer) => {
        this.requests.push(bytes.toString('latin1').split('\r\n')[0] ?? '');
        this.#receive(socket, respond);
      });
    });
  }

  static async start(respond: Responder): Promise<MutingServer> {
    const server = new MutingServer(respond);
    await new Promise<void>((resolve) => server.#server.listen(0, '127.0.0.1', resolve));
    return server;
  }

  get address(): string {
    const bound = this.#server.address();
    return typeof bound === 'object' && bound !== null ? `127.0.0.1:${bound.port}` : '';
  }

  /** Answers requests only once there are so many: each needs a connection of its own then. */
  holdUntil(requests: number): void {
    const held: (() => void)[] = [];
    this.#held = held;
    const release = (): void => {
      if (held.length >= requests) {
        this.#held = null;
        held.forEach((answer) => answer());
      } else {
        setImmediate(release);
      }
    };
    release();
  }

  /** Every connection that is open now says nothing from now on. */
  mute(): void {
    this.#sockets.forEach((socket) => this.#silent.add(socket));
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #receive(socket: Socket, respond: Responder): void {
    if (this.#silent.has(socket)) {
      return;
    }
    if (this.#held !== null) {
      this.#held.push(() => respond(socket));
    } else {
      respond(socket);
    }
  }
}
