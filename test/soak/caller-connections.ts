/** The callers' connections, which are on a thread of their own. */
import { Worker } from 'node:worker_threads';
import type { CallerMessage, CallerRequest, CallerResult } from './caller-messages.js';

export class CallerConnections {
  readonly #thread = new Worker(new URL('caller-thread.js', import.meta.url));
  readonly #pending = new Map<string, (result: CallerResult) => void>();
  readonly #onDisconnect = new Map<string, (at: number) => void>();

  constructor() {
    this.#thread.on('message', (message: CallerMessage) => this.#receive(message));
  }

  /** Sends a request and resolves when it has ended for its caller. */
  send(request: CallerRequest): Promise<CallerResult> {
    return new Promise((resolve) => {
      this.#pending.set(request.attemptId, resolve);
      this.#thread.postMessage(request);
    });
  }

  /** Sends a request whose caller disconnects, and resolves with the time at which it did. */
  sendAndDisconnect(request: CallerRequest): Promise<number> {
    return new Promise((resolve) => {
      this.#onDisconnect.set(request.attemptId, resolve);
      this.#thread.postMessage(request);
    });
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#thread.terminate();
  }

  #receive(message: CallerMessage): void {
    const { attemptId } = message;
    if (message.kind === 'ended') {
      this.#pending.get(attemptId)?.(message);
      this.#pending.delete(attemptId);
    } else {
      this.#onDisconnect.get(attemptId)?.(message.at);
      this.#onDisconnect.delete(attemptId);
    }
  }
}
