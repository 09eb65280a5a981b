/** Stand-in for an upstream (PROTOCOL.md): health, grants and releases of keys, and requests, each of which a given function answers. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';

const OK = 200;
const CONFLICT = 409;
const MISDIRECTED = 421;

export class Upstream {
  id;
  service;
  zone;
  address = '';
  /** Attempt ids of the requests that were run here, in order. */
  runs = [];
  #keyed;
  #work;
  #onGrant;
  #grants = [];
  #fences = [];
  #server = createServer({ keepAliveTimeout: 10_000 }, (request, response) =>
    this.#receive(request, response),
  );

  /**
   * @param work answers a request that is run: (request, response, body, upstream)
   * @param onGrant hears of each grant that is taken: (id, { from, to, fence })
   */
  constructor(id, service, zone, { keyed = false, work, onGrant = () => undefined }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.#keyed = keyed;
    this.#work = work;
    this.#onGrant = onGrant;
  }

  async start(port) {
    await new Promise((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** The upstream's entry in the store. */
  entry(state = 'ready') {
    const { service, address, zone } = this;
    return { service, address, zone, version: 'v1', capacity: 3, state, warmupLeftS: 0, sequence: 1 };
  }

  /** The headers by which every whole answer to a request is recognised. */
  headersFor(request) {
    return {
      'Fennelferry-Attempt-Id': request.headers['fennelferry-attempt-id'],
      'Fennelferry-Server-Seal': `seal.${this.id}`,
    };
  }

  #receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      if (request.url === '/health') {
        response.writeHead(OK, { 'Fennelferry-Instance-Id': this.id, 'Content-Length': 0 }).end();
      } else if (request.url === '/api/grant') {
        this.#grant(response, JSON.parse(body.toString()));
      } else if (request.url === '/api/release') {
        this.#release(response, JSON.parse(body.toString()));
      } else {
        this.#run(request, response, body);
      }
    });
  }

  #grant(response, { from, targetVersion: to, fence, holdS }) {
    const isOld = this.#fences.some((seen) => seen.from <= to && from <= seen.to && seen.fence > fence);
    if (!isOld) {
      this.#onGrant(this.id, { from, to, fence });
      this.#fences.push({ from, to, fence });
      this.#grants = [...this.#outside(from, to), { from, to, fence, until: Date.now() + holdS * 1_000 }];
    }
    response.writeHead(isOld ? CONFLICT : OK, { 'Content-Length': 0 }).end();
  }

  #release(response, { from, targetVersion: to, fence }) {
    this.#fences.push({ from, to, fence });
    this.#grants = this.#outside(from, to);
    response.writeHead(OK, { 'Fennelferry-Handover': 'h1', 'Content-Length': 0 }).end();
  }

  #outside(from, to) {
    return this.#grants
      .flatMap((grant) => [
        { ...grant, to: Math.min(grant.to, from - 1) },
        { ...grant, from: Math.max(grant.from, to + 1) },
      ])
      .filter((grant) => grant.from <= grant.to);
  }

  #holds(key) {
    return this.#grants.some(({ from, to, until }) => from <= key && key <= to && until > Date.now());
  }

  #run(request, response, body) {
    const expected = request.headers['fennelferry-expect-instance'] ?? this.id;
    const key = Number(request.headers['fennelferry-shard-key']);
    if (expected !== this.id || (this.#keyed && !this.#holds(key))) {
      const headers = { 'Fennelferry-Not-Executed': '1', 'Fennelferry-Instance-Id': this.id };
      response.writeHead(MISDIRECTED, { ...headers, 'Content-Length': 0 }).end();
      return;
    }
    this.runs.push(request.headers['fennelferry-attempt-id']);
    this.#work(request, response, body, this);
  }
}
