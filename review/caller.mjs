/** Stand-in for a caller (PROTOCOL.md): sends one request on a connection of its own and reads the answer as HTTP/1.1 says. */
import { Buffer } from 'node:buffer';
import { createConnection } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';

const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [statusLine, ...lines] = text.split('\r\n');
  const headers = new Map();
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
  }
  return { status: Number(statusLine.split(' ')[1]), headers };
}

/** Returns the body of a chunked message, and whether its last chunk has come. */
function readChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const end = bytes.indexOf('\r\n', at);
    if (end < 0) {
      return { body: Buffer.concat(parts), isWhole: false };
    }
    const size = Number.parseInt(bytes.subarray(at, end).toString('latin1'), 16);
    const from = end + 2;
    if (size === 0) {
      return { body: Buffer.concat(parts), isWhole: bytes.length >= from + 2 };
    }
    parts.push(bytes.subarray(from, Math.min(from + size, bytes.length)));
    if (bytes.length < from + size + 2) {
      return { body: Buffer.concat(parts), isWhole: false };
    }
    at = from + size + 2;
  }
}

/** Returns the answer in the bytes of a connection, and whether it is whole, by the message framing of HTTP/1.1 (RFC 9112, 6.3). */
export function readAnswer(bytes, end) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) {
    return { status: 0, headers: new Map(), body: Buffer.alloc(0), isWhole: false };
  }
  const head = parseHead(bytes.subarray(0, headEnd).toString('latin1'));
  const rest = bytes.subarray(headEnd + HEAD_END.length);
  if (head.headers.get('transfer-encoding') === 'chunked') {
    return { ...head, ...readChunks(rest) };
  }
  const length = head.headers.get('content-length');
  if (length !== undefined) {
    return { ...head, body: rest.subarray(0, Number(length)), isWhole: rest.length >= Number(length) };
  }
  // Without a length the body lasts until the connection is closed in order; a reset shows that it was cut.
  return { ...head, body: rest, isWhole: end === 'closed' };
}

function requestText({ method, path, host, id, deadline, body = '', headers = {} }) {
  const all = {
    Host: host,
    'Fennelferry-Attempt-Id': id,
    'Fennelferry-Deadline-Ms': String(deadline),
    'Content-Length': String(Buffer.byteLength(body)),
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `${[`${method} ${path} HTTP/1.1`, ...lines].join('\r\n')}${HEAD_END}${body}`;
}

/** A connection that is kept for many requests, one after the other. Answers on it state their length. */
export class KeptConnection {
  /** Requests that were sent on the connection that is open now. */
  requests = 0;
  #address;
  #socket = null;

  constructor(address) {
    this.#address = address;
  }

  async #connect() {
    const [ip, port] = this.#address.split(':');
    const socket = createConnection({ host: ip, port: Number(port), noDelay: true });
    await new Promise((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    socket.on('error', () => undefined);
    this.#socket = socket;
    this.requests = 0;
  }

  /**
   * Sends a request and resolves with its answer. `end` is `whole`, or how the connection ended before the whole answer had come; `isKept`
   * says whether the connection had carried a request before.
   *
   * @param readPause milliseconds for which the caller rests after each piece that it has read
   */
  async request({ readPause = 0, ...request }) {
    const { id, deadline } = request;
    const isKept = this.#socket !== null;
    if (!isKept) {
      try {
        await this.#connect();
      } catch (error) {
        return { id, isKept, end: error.code, status: 0, headers: new Map(), body: Buffer.alloc(0) };
      }
    }
    const socket = this.#socket;
    this.requests += 1;
    return new Promise((resolve) => {
      const chunks = [];
      let received = 0;
      let expected = Number.POSITIVE_INFINITY;
      const finish = (end) => {
        clearTimeout(timer);
        socket.removeAllListeners('data').removeAllListeners('end').removeAllListeners('close');
        const answer = readAnswer(Buffer.concat(chunks), end);
        if (end !== 'whole' || answer.headers.get('connection') === 'close') {
          this.close();
        }
        resolve({ id, isKept, end, ...answer });
      };
      const timer = setTimeout(() => finish('deadline'), deadline);
      socket.on('data', (chunk) => {
        chunks.push(chunk);
        received += chunk.length;
        if (expected === Number.POSITIVE_INFINITY) {
          expected = expectedBytes(Buffer.concat(chunks));
        }
        if (received >= expected) {
          finish('whole');
        } else if (readPause > 0) {
          socket.pause();
          setTimeout(() => socket.resume(), readPause);
        }
      });
      socket.on('end', () => finish('closed'));
      socket.on('close', () => finish('closed'));
      socket.write(requestText(request));
    });
  }

  close() {
    this.#socket?.destroy();
    this.#socket = null;
  }
}

/** Returns the bytes of an answer with a stated length, head and body; infinite while its head isn't complete. */
function expectedBytes(bytes) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) {
    return Number.POSITIVE_INFINITY;
  }
  const { headers } = parseHead(bytes.subarray(0, headEnd).toString('latin1'));
  return headEnd + HEAD_END.length + Number(headers.get('content-length') ?? Number.POSITIVE_INFINITY);
}

/**
 * Sends a request and resolves with the answer, once it is whole by its length or the connection has ended.
 */
export function call({ address, ...request }) {
  const { id, deadline } = request;
  const [ip, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = createConnection({ host: ip, port: Number(port), noDelay: true });
    const chunks = [];
    let received = 0;
    let expected = Number.POSITIVE_INFINITY;
    let isDone = false;
    const finish = (end) => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        socket.destroy();
        resolve({ id, end, ...readAnswer(Buffer.concat(chunks), end) });
      }
    };
    const timer = setTimeout(() => finish('deadline'), deadline);
    socket.on('connect', () => socket.write(requestText(request)));
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      received += chunk.length;
      if (expected === Number.POSITIVE_INFINITY && chunks.length < 8) {
        expected = expectedBytes(Buffer.concat(chunks));
      }
      if (received >= expected) {
        finish('whole');
      }
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', (error) => finish(error.code ?? error.message));
    socket.on('close', () => finish('closed'));
  });
}
