/** TCP server whose responses a test writes byte by byte, including ones that no HTTP library would send. */
import { createServer, type Server, type Socket } from 'node:net';

/** Called with each chunk received, usually a request's head; writes any response to the socket. */
export type RawResponder = (socket: Socket, head: string) => void;

/** Listens on a loopback port until closed, and records the received heads. */
export class RawServer {
  readonly heads: string[] = [];
  connections = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  private constructor(respond: RawResponder) {
    this.#server = createServer((socket) => {
      this.connections += 1;
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
      socket.on('data', (bytes: Buffer) => {
        const head = bytes.toString('latin1');
        this.heads.push(head);
        respond(socket, head);
      });
    });
  }

  static async start(respond: RawResponder): Promise<RawServer> {
    const server = new RawServer(respond);
    await new Promise<void>((resolve) => server.#server.listen(0, '127.0.0.1', resolve));
    return server;
  }

  get address(): string {
    const boundAddress = this.#server.address();
    return typeof boundAddress === 'object' && boundAddress !== null ? `127.0.0.1:${boundAddress.port}` : '';
  }

  async close(): Promise<void> {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    await new Promise((resolve) => this.#server.close(resolve));
  }
}
