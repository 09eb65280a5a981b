/** Server on a worker thread whose response arrives while the event loop of this thread is blocked. */
import { Worker } from 'node:worker_threads';
import { ANSWERED, type AnsweringThreadData, ANSWER_ALLOWED, RECEIVED } from './answering-steps.js';

export class AnsweringServer {
  readonly address: string;
  readonly #thread: Worker;
  readonly #step: Int32Array;

  private constructor(address: string, thread: Worker, step: Int32Array) {
    this.address = address;
    this.#thread = thread;
    this.#step = step;
  }

  /** @param sendsOnConnect whether the server sends `answer` as soon as a connection is open, without a request */
  static async start(answer: Uint8Array, sendsOnConnect: boolean): Promise<AnsweringServer> {
    const step = new Int32Array(new SharedArrayBuffer(2 * Int32Array.BYTES_PER_ELEMENT));
    const workerData: AnsweringThreadData = { step, answer, sendsOnConnect };
    const thread = new Worker(new URL('answering-thread.js', import.meta.url), { workerData });
    const port = await new Promise<number>((resolve) => thread.once('message', resolve));
    return new AnsweringServer(`127.0.0.1:${port}`, thread, step);
  }

  /** Waits for the request, then blocks this thread's event loop until the response has been written and for `milliseconds` more. */
  async blockLoopWhileAnswering(milliseconds: number): Promise<void> {
    while (Atomics.load(this.#step, 0) !== RECEIVED) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    Atomics.store(this.#step, 0, ANSWER_ALLOWED);
    Atomics.notify(this.#step, 0);
    while (Atomics.load(this.#step, 0) !== ANSWERED) {
      Atomics.wait(this.#step, 0, ANSWER_ALLOWED);
    }
    Atomics.wait(this.#step, 1, 0, milliseconds);
  }

  async close(): Promise<void> {
    await this.#thread.terminate();
  }
}
