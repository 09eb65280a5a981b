/**
 * Fake object store with the platform's API: objects by kind under one revision counter, lists, watches, compare-and-swap, and outages.
 * A request that arrives while the store is in mode `unresponsive` is never answered.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { encodeEvents, encodePage, pageAfter } from './store-pages.js';

/** How the store handles requests: answers them, never answers, or answers with status 503. */
export type StoreMode = 'available' | 'unresponsive' | 'busy';

interface StoredObject {
  readonly metadata: { readonly name: string; readonly revision: number; readonly made: number };
  readonly spec: unknown;
  /** What readers get: the object as JSON, or the bytes that another writer left in its place. */
  readonly encoded: Buffer;
}
interface StoreEvent {
  readonly object: StoredObject;
  readonly gone: boolean;
}
interface Watcher {
  readonly kind: string;
  readonly revision: number;
  readonly response: ServerResponse;
}

/** Stands for the object's revision in the bytes of `putBytes`. */
export const REVISION_MARK = 'REVISION';
const EMPTY = Buffer.from('{}');
const MAX_HEADER_BYTES = 1_000_000;
const OBJECT_PATH = /^\/api\/objects\/([^/?]+)(?:\/([^/?]+))?/;

export class FakeStore {
  mode: StoreMode = 'available';
  #revision = 1;
  readonly #objects = new Map<string, Map<string, StoredObject>>();
  readonly #events = new Map<string, StoreEvent[]>();
  #watchers: Watcher[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #mutedSockets = new WeakSet<Socket>();
  readonly #server: Server;

  constructor() {
    // A list continues behind a name, which may be long.
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES },
      (request, response) => void this.#receive(request, response),
    );
    this.#server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Makes the currently open connections unresponsive without closing them. */
  muteConnections(): void {
    this.#sockets.forEach((socket) => this.#mutedSockets.add(socket));
  }

  /** Stores an object as operators and servers write it, in any mode and without a revision check. */
  put(kind: string, name: string, spec: unknown): void {
    const metadata = this.#nextMetadata(kind, name);
    const encoded = Buffer.from(JSON.stringify({ metadata, spec }));
    this.#store(kind, { metadata, spec, encoded });
  }

  /** Stores bytes in the place of an object. Readers get them as they are, `REVISION_MARK` aside. */
  putBytes(kind: string, name: string, bytes: Uint8Array): void {
    const metadata = this.#nextMetadata(kind, name);
    const text = Buffer.from(bytes).toString('latin1').replaceAll(REVISION_MARK, String(metadata.revision));
    this.#store(kind, { metadata, spec: null, encoded: Buffer.from(text, 'latin1') });
  }

  #nextMetadata(kind: string, name: string): StoredObject['metadata'] {
    this.#revision += 1;
    const made = this.#objectsOf(kind).get(name)?.metadata.made ?? this.#revision;
    return { name, revision: this.#revision, made };
  }

  #store(kind: string, object: StoredObject): void {
    this.#objectsOf(kind).set(object.metadata.name, object);
    this.#publish(kind, { object, gone: false });
  }

  /** Returns what an object holds, or undefined if there is none. */
  read(kind: string, name: string): unknown {
    return this.#objectsOf(kind).get(name)?.spec;
  }

  remove(kind: string, name: string): void {
    const found = this.#objectsOf(kind).get(name);
    if (found !== undefined) {
      this.#revision += 1;
      this.#objectsOf(kind).delete(name);
      const metadata = { ...found.metadata, revision: this.#revision };
      const encoded = Buffer.from(JSON.stringify({ metadata, spec: found.spec }));
      this.#publish(kind, { object: { ...found, metadata, encoded }, gone: true });
    }
  }

  #objectsOf(kind: string): Map<string, StoredObject> {
    const found = this.#objects.get(kind) ?? new Map<string, StoredObject>();
    this.#objects.set(kind, found);
    return found;
  }

  #publish(kind: string, event: StoreEvent): void {
    this.#events.set(kind, [...(this.#events.get(kind) ?? []), event]);
    const waiting = this.#watchers.filter((watcher) => watcher.kind === kind);
    waiting.forEach((watcher) => this.#answerWatch(watcher));
  }

  #answerWatch(watcher: Watcher): void {
    this.#watchers = this.#watchers.filter((other) => other !== watcher);
    const events = (this.#events.get(watcher.kind) ?? []).filter(
      ({ object }) => object.metadata.revision > watcher.revision,
    );
    this.#answer(watcher.response, 200, encodeEvents(events, this.#revision));
  }

  #answer(response: ServerResponse, status: number, body: Buffer): void {
    const { socket } = response;
    if (socket === null || this.#mutedSockets.has(socket)) {
      return;
    }
    response.writeHead(status, { 'content-type': 'application/json' }).end(body);
  }

  async #receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }
    if (this.mode === 'unresponsive') {
      return;
    }
    if (this.mode === 'busy') {
      return this.#answer(response, 503, EMPTY);
    }
    const [, kind = '', name] = OBJECT_PATH.exec(request.url ?? '') ?? [];
    if (request.method === 'GET') {
      return this.#read(request, response, kind, name);
    }
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}') as Partial<StoredObject>;
    this.#write(response, kind, name ?? body.metadata?.name ?? '', body);
  }

  #read(request: IncomingMessage, response: ServerResponse, kind: string, name: string | undefined): void {
    const query = new URL(request.url ?? '', 'http://store').searchParams;
    const watch = query.get('watch');
    if (name !== undefined) {
      const found = this.#objectsOf(kind).get(name);
      return this.#answer(response, found === undefined ? 404 : 200, found?.encoded ?? EMPTY);
    }
    if (watch === null) {
      const page = pageAfter([...this.#objectsOf(kind).values()], query.get('after'));
      return this.#answer(response, 200, encodePage(page, this.#revision));
    }
    const watcher = { kind, revision: Number(watch), response };
    const isBehind = (this.#events.get(kind) ?? []).some(
      ({ object }) => object.metadata.revision > watcher.revision,
    );
    if (isBehind) {
      return this.#answerWatch(watcher);
    }
    this.#watchers.push(watcher);
    setTimeout(
      () => {
        if (this.#watchers.includes(watcher)) {
          this.#answerWatch(watcher);
        }
      },
      Number(query.get('waitMs')),
    );
  }

  #write(response: ServerResponse, kind: string, name: string, body: Partial<StoredObject>): void {
    const found = this.#objectsOf(kind).get(name);
    const expected = body.metadata?.revision;
    if (expected !== found?.metadata.revision) {
      return this.#answer(response, 409, found?.encoded ?? EMPTY);
    }
    this.put(kind, name, body.spec);
    this.#answer(response, 200, this.#objectsOf(kind).get(name)?.encoded ?? EMPTY);
  }
}
