/** Stand-in for the platform's store (PROTOCOL.md): objects by kind, lists, watches, writes under a revision. It keeps its whole history. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const OBJECT_PATH = /^\/api\/objects\/([^/?]+)(?:\/([^/?]+))?$/;
const OK = 200;
const CREATED = 201;
const NOT_FOUND = 404;
const CONFLICT = 409;

function answer(response, status, body) {
  const text = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': text.length });
  response.end(text);
}

export class Store {
  #revision = 100;
  #kinds = new Map();
  #events = new Map();
  #waiting = new Set();
  #server = createServer((request, response) => this.#receive(request, response));

  /** Listens on a loopback port. */
  async start(port) {
    await new Promise((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    return `127.0.0.1:${port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an object as the operator or an upstream does. */
  put(kind, name, spec) {
    const former = this.#objectsOf(kind).get(name);
    this.#revision += 1;
    const made = former?.metadata.made ?? this.#revision;
    const metadata = { name, revision: this.#revision, made, finalizers: [], deleting: false };
    const object = { metadata, spec, status: null };
    this.#objectsOf(kind).set(name, object);
    this.#publish(kind, { gone: false, object });
    return object;
  }

  /** Removes an object as an upstream that has left does. */
  remove(kind, name) {
    const found = this.#objectsOf(kind).get(name);
    if (found !== undefined) {
      this.#revision += 1;
      this.#objectsOf(kind).delete(name);
      const metadata = { ...found.metadata, revision: this.#revision };
      this.#publish(kind, { gone: true, object: { ...found, metadata } });
    }
  }

  get(kind, name) {
    return this.#objectsOf(kind).get(name);
  }

  #objectsOf(kind) {
    const found = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, found);
    return found;
  }

  #publish(kind, event) {
    const events = this.#events.get(kind) ?? [];
    events.push(event);
    this.#events.set(kind, events);
    [...this.#waiting].filter((watch) => watch.kind === kind).forEach((watch) => this.#endWatch(watch));
  }

  #endWatch(watch) {
    this.#waiting.delete(watch);
    clearTimeout(watch.timer);
    const events = (this.#events.get(watch.kind) ?? []).filter(
      ({ object }) => object.metadata.revision > watch.after,
    );
    answer(watch.response, OK, { events, at: this.#revision });
  }

  #receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      const [, kind, name] = OBJECT_PATH.exec(url.pathname) ?? [];
      if (kind === undefined) {
        answer(response, NOT_FOUND, {});
      } else if (request.method === 'GET') {
        this.#read(response, kind, name, url.searchParams);
      } else {
        this.#write(request.method, response, kind, name, JSON.parse(Buffer.concat(chunks).toString()));
      }
    });
  }

  #read(response, kind, name, query) {
    if (name !== undefined) {
      const found = this.#objectsOf(kind).get(name);
      answer(response, found === undefined ? NOT_FOUND : OK, found ?? {});
      return;
    }
    if (query.get('watch') === null) {
      const items = [...this.#objectsOf(kind).values()];
      answer(response, OK, { items, more: false, at: this.#revision });
      return;
    }
    const watch = { kind, after: Number(query.get('watch')), response, timer: undefined };
    const events = this.#events.get(kind) ?? [];
    if (events.some(({ object }) => object.metadata.revision > watch.after)) {
      this.#endWatch(watch);
      return;
    }
    this.#waiting.add(watch);
    watch.timer = setTimeout(() => this.#endWatch(watch), Number(query.get('waitMs')));
    response.on('close', () => {
      this.#waiting.delete(watch);
      clearTimeout(watch.timer);
    });
  }

  #write(method, response, kind, pathName, body) {
    const name = pathName ?? body.metadata.name;
    const found = this.#objectsOf(kind).get(name);
    const isCreation = method === 'POST';
    if (!isCreation && found === undefined) {
      answer(response, NOT_FOUND, {});
      return;
    }
    const { revision } = body.metadata ?? {};
    const isOther = revision !== undefined && revision !== found?.metadata.revision;
    if (isOther || (isCreation && found !== undefined)) {
      answer(response, CONFLICT, found ?? {});
      return;
    }
    answer(response, isCreation ? CREATED : OK, this.put(kind, name, body.spec));
  }
}
