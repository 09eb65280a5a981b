/**
 * The platform's store as its pages describe it, for the soak: objects by kind with one counter of revisions, lists, watches,
 * compare-and-swap, and bad times. A call that comes while it is silent is never answered.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** How the store treats calls: well, not at all, or with 503. */
export type StoreMode = 'well' | 'silent' | 'busy';

interface StoredObject {
  readonly metadata: { readonly name: string; readonly revision: number; readonly made: number };
  readonly spec: unknown;
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

const PATH = /^\/api\/objects\/([^/?]+)(?:\/([^/?]+))?/;

export class StoreStandIn {
  mode: StoreMode = 'well';
  #revision = 1;
  readonly #objects = new Map<string, Map<string, StoredObject>>();
  readonly #events = new Map<string, StoreEvent[]>();
  #watchers: Watcher[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #muted = new WeakSet<Socket>();
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => void this.#receive(request, response));
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

  /** Connections that are open now go silent without a reset. */
  muteConnections(): void {
    this.#sockets.forEach((socket) => this.#muted.add(socket));
  }

  /** What the operators and the servers write: it is taken at any time. */
  put(kind: string, name: string, spec: unknown): void {
    this.#revision += 1;
    const made = this.#kind(kind).get(name)?.metadata.made ?? this.#revision;
    const object = { metadata: { name, revision: this.#revision, made }, spec };
    this.#kind(kind).set(name, object);
    this.#tell(kind, { object, gone: false });
  }

  remove(kind: string, name: string): void {
    const found = this.#kind(kind).get(name);
    if (found !== undefined) {
      this.#revision += 1;
      this.#kind(kind).delete(name);
      const metadata = { ...found.metadata, revision: this.#revision };
      this.#tell(kind, { object: { ...found, metadata }, gone: true });
    }
  }

  #kind(kind: string): Map<string, StoredObject> {
    const found = this.#objects.get(kind) ?? new Map<string, StoredObject>();
    this.#objects.set(kind, found);
    return found;
  }

  #tell(kind: string, event: StoreEvent): void {
    this.#events.set(kind, [...(this.#events.get(kind) ?? []), event]);
    const told = this.#watchers.filter((watcher) => watcher.kind === kind);
    told.forEach((watcher) => this.#answerWatch(watcher));
  }

  #answerWatch(watcher: Watcher): void {
    this.#watchers = this.#watchers.filter((other) => other !== watcher);
    const events = (this.#events.get(watcher.kind) ?? []).filter(
      ({ object }) => object.metadata.revision > watcher.revision,
    );
    this.#answer(watcher.response, 200, { events, at: this.#revision });
  }

  #answer(response: ServerResponse, status: number, body: unknown): void {
    const { socket } = response;
    if (socket === null || this.#muted.has(socket)) {
      return;
    }
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }

  async #receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }
    if (this.mode === 'silent') {
      return;
    }
    if (this.mode === 'busy') {
      return this.#answer(response, 503, {});
    }
    const [, kind = '', name] = PATH.exec(request.url ?? '') ?? [];
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
      const found = this.#kind(kind).get(name);
      return this.#answer(response, found === undefined ? 404 : 200, found ?? {});
    }
    if (watch === null) {
      const items = [...this.#kind(kind).values()];
      return this.#answer(response, 200, { items, more: false, at: this.#revision });
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
    const found = this.#kind(kind).get(name);
    const expected = body.metadata?.revision;
    if (expected !== found?.metadata.revision) {
      return this.#answer(response, 409, found ?? {});
    }
    this.put(kind, name, body.spec);
    this.#answer(response, 200, this.#kind(kind).get(name));
  }
}
