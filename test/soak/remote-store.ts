/** The fake store, which runs on a thread of its own. */
import { Worker } from 'node:worker_threads';
import type { StoreMode } from './fake-store.js';
import type { StoreCommand, StoreMessage } from './store-messages.js';

type Done = Extract<StoreMessage, { kind: 'done' }>;

export class RemoteStore {
  readonly address: string;
  readonly #thread: Worker;
  readonly #pending = new Map<number, (done: Done) => void>();
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

  /** Stores bytes in the place of an object. Resolves with the time at which the store accepted them. */
  putBytes(object: string, name: string, bytes: Uint8Array): Promise<number> {
    return this.#perform({ kind: 'putBytes', object, name, bytes });
  }

  /** Removes an object. Resolves with the time at which it was removed. */
  remove(object: string, name: string): Promise<number> {
    return this.#perform({ kind: 'remove', object, name });
  }

  /** Returns what an object holds, or undefined if there is none. */
  async read(object: string, name: string): Promise<unknown> {
    const { value } = await this.#send({ kind: 'read', object, name });
    return value;
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

  async #perform(command: StoreCommand): Promise<number> {
    const { at } = await this.#send(command);
    return at;
  }

  #send(command: StoreCommand): Promise<Done> {
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      this.#pending.set(id, resolve);
      this.#thread.postMessage({ id, command });
    });
  }

  #receive(message: StoreMessage): void {
    if (message.kind === 'done') {
      this.#pending.get(message.id)?.(message);
      this.#pending.delete(message.id);
    }
  }
}
