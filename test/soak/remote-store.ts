/** The fake store, which runs on a thread of its own. */
import { Worker } from 'node:worker_threads';
import type { StoreMode } from './fake-store.js';
import type { StoreCommand, StoreMessage } from './store-messages.js';

export class RemoteStore {
  readonly address: string;
  readonly #thread: Worker;
  readonly #pending = new Map<number, (at: number) => void>();
  #nextId = 1;

  private constructor(thread: Worker, address: string) {
    this.#thread = thread;
    this.address = address;
    thread.on('message', (message: StoreMessage) => this.#receive(message));
  }

  static async start(): Promise<RemoteStore> {
    const thread = new Worker(new URL('store-thread.js', import.meta.url));
    const message = await new Promise<StoreMessage>((resolve) => thread.once('message', resolve));
    if (message.kind !== 'listening') {
      throw new Error(`the store's thread sent "${message.kind}" before it listened`);
    }
    return new RemoteStore(thread, message.address);
  }

  /** Stores an object. Resolves with the time at which the store accepted it. */
  put(object: string, name: string, spec: unknown): Promise<number> {
    return this.#perform({ kind: 'put', object, name, spec });
  }

  /** Removes an object. Resolves with the time at which it was removed. */
  remove(object: string, name: string): Promise<number> {
    return this.#perform({ kind: 'remove', object, name });
  }

  setMode(mode: StoreMode): Promise<number> {
    return this.#perform({ kind: 'setMode', mode });
  }

  /** Makes the currently open connections unresponsive without closing them. */
  muteConnections(): Promise<number> {
    return this.#perform({ kind: 'muteConnections' });
  }

  async stop(): Promise<void> {
    await this.#thread.terminate();
  }

  #perform(command: StoreCommand): Promise<number> {
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      this.#pending.set(id, resolve);
      this.#thread.postMessage({ id, command });
    });
  }

  #receive(message: StoreMessage): void {
    if (message.kind === 'done') {
      this.#pending.get(message.id)?.(message.at);
      this.#pending.delete(message.id);
    }
  }
}
