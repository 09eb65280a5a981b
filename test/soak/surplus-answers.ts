/** Answers that servers send a second time, each in the place of the next answer that is due on its connection. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export class SurplusAnswers {
  readonly #pending = new WeakMap<Socket, string>();

  /** Sends an answer again as soon as the connection's next request has arrived. */
  add(response: ServerResponse, status: number, headers: Readonly<Record<string, string>>): void {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    if (response.socket !== null) {
      const head = `HTTP/1.1 ${status} Surplus\r\n${lines.join('')}Content-Length: 0\r\n\r\n`;
      this.#pending.set(response.socket, head);
    }
  }

  /** Sends what is due on a connection on which a request has arrived. */
  send(socket: Socket): void {
    const surplus = this.#pending.get(socket);
    if (surplus !== undefined) {
      this.#pending.delete(socket);
      socket.write(surplus);
    }
  }
}
