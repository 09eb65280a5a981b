/** Guards against servers that send bytes without end, in a head or a body, until the daemon closes the connection. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import type { Socket } from 'node:net';
import type { AttemptResult } from '../../src/router/events.js';
import { FrontendFixture, type TestCaller, post, until } from '../support/frontend-fixture.js';
import { RawServer } from '../support/raw-server.js';

const TIMEOUT = 8_000;
const MEBIBYTE = 1024 * 1024;
/** Time after which the reducer gives the attempt up, as at a request's deadline. */
const DEADLINE = 700;
/** What a daemon may hold of an answer, and of the memory that an answer without end may take in all: buffers of sockets and parsers included. */
const MAX_HELD = 2 * MEBIBYTE;
const MAX_GROWTH = 96 * MEBIBYTE;
const SAMPLE_INTERVAL = 20;
const BLOCK_BYTES = 64 * 1024;
const START_BYTES = 512;
const END_BYTES = 16;

const OWN = 'Fennelferry-Attempt-Id: a-1\r\nFennelferry-Server-Seal: s.1\r\n';
const REJECTED = 'Fennelferry-Attempt-Id: a-1\r\nFennelferry-Not-Executed: 1\r\n';

/** Bytes that a server sends once, and then bytes that it repeats until the connection closes. */
interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
}

let server: RawServer | undefined;
let fixture: FrontendFixture | undefined;

afterEach(async () => {
  fixture?.close();
  await server?.close();
});

interface Sent {
  isClosed: boolean;
  bytes: number;
}

function sendWithoutEnd(socket: Socket, { start, repeated }: EndlessAnswer, sent: Sent): void {
  const block = Buffer.from(repeated.repeat(Math.ceil(BLOCK_BYTES / repeated.length)));
  const writeMore = (): void => {
    while (!sent.isClosed && socket.write(block)) {
      sent.bytes += block.length;
    }
  };
  socket.on('close', () => (sent.isClosed = true));
  socket.on('drain', writeMore);
  socket.write(start);
  writeMore();
}

/** What a caller sees of a long answer: it keeps only the beginning and the end, so that its own memory does not count as the daemon's. */
class BriefReader {
  start = '';
  end = '';
  bytes = 0;

  constructor({ socket }: TestCaller) {
    socket.on('data', (chunk: Buffer) => {
      this.start ||= chunk.toString('latin1', 0, START_BYTES);
      this.end = (this.end + chunk.toString('latin1', Math.max(0, chunk.length - END_BYTES))).slice(
        -END_BYTES,
      );
      this.bytes += chunk.length;
    });
  }

  get statuses(): number[] {
    return [...this.start.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => Number(status));
  }
}

interface Observation {
  readonly caller: TestCaller;
  /** Null: the caller does not read. */
  readonly reader: BriefReader | null;
  readonly results: FrontendFixture['results'];
  /** Whether the server's connection was closed. */
  readonly isClosed: boolean;
  readonly maxHeld: number;
  readonly growth: number;
  /** Number of turns of the event loop that a timer saw until the end of the attempt. */
  readonly turns: number;
}

/** Sends one request to a server that answers without end. At the deadline the attempt is cancelled and the caller told. */
async function observe(answer: EndlessAnswer, reads = true): Promise<Observation> {
  const sent: Sent = { isClosed: false, bytes: 0 };
  server = await RawServer.start((socket) => sendWithoutEnd(socket, answer, sent));
  const started = await FrontendFixture.start(server.address);
  fixture = started;
  let deadline: NodeJS.Timeout | undefined;
  started.onArrival = (event) => {
    started.forward(event);
    deadline = setTimeout(() => {
      started.frontend.attempts.cancel({ kind: 'cancel', requestId: event.requestId, attempt: 1 });
      started.fail(event);
    }, DEADLINE);
  };
  started.onAttemptEnded = ({ requestId, result }) => {
    clearTimeout(deadline);
    if (result.kind !== 'answered') {
      started.fail({ requestId });
    }
  };
  const usedBefore = process.memoryUsage().rss;
  const seen = { maxHeld: 0, rss: 0, turns: 0 };
  const sampling = setInterval(() => {
    seen.turns += 1;
    seen.maxHeld = Math.max(seen.maxHeld, started.frontend.transfers.heldForCallers);
    seen.rss = Math.max(seen.rss, process.memoryUsage().rss);
  }, SAMPLE_INTERVAL);
  const caller = started.connect(false);
  const reader = reads ? new BriefReader(caller) : null;
  caller.socket.write(post('a-1', 'x'));
  await until(() => started.results.length > 0 && sent.isClosed, TIMEOUT);
  clearInterval(sampling);
  const { maxHeld, turns } = seen;
  const { results } = started;
  return { caller, reader, results, isClosed: sent.isClosed, maxHeld, growth: seen.rss - usedBefore, turns };
}

async function expectBounded(
  answer: EndlessAnswer,
  kind: AttemptResult['kind'],
  reads = true,
): Promise<Observation> {
  const observed = await observe(answer, reads);
  expect(observed.results.map((result) => result.kind)).toEqual([kind]);
  expect(observed.isClosed).toEqual(true);
  expect(observed.maxHeld <= MAX_HELD).toEqual(true);
  expect(observed.growth <= MAX_GROWTH).toEqual(true);
  return observed;
}

const CASES: Readonly<Record<string, EndlessAnswer>> = {
  'bytes that are no answer': { start: '', repeated: 'no answer at all ' },
  'a status line': { start: 'HTTP/1.1 200 ', repeated: 'OK' },
  'a line of a head': { start: 'HTTP/1.1 200 OK\r\nX-Long: ', repeated: 'x' },
  'lines of a head': { start: `HTTP/1.1 200 OK\r\n${OWN}`, repeated: 'X-More: 1\r\n' },
  'interim answers': { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n' },
  trailers: {
    start: `HTTP/1.1 200 OK\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n`,
    repeated: 'X-More: 1\r\n',
  },
  'an extension of a chunk': {
    start: `HTTP/1.1 200 OK\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n2;`,
    repeated: 'x',
  },
};

const BODIES: Readonly<Record<string, EndlessAnswer>> = {
  chunks: {
    start: `HTTP/1.1 200 OK\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: `400\r\n${'x'.repeat(0x400)}\r\n`,
  },
  'a body without a length': { start: `HTTP/1.1 200 OK\r\n${OWN}\r\n`, repeated: 'x'.repeat(0x400) },
};

describe('an answer without end', () => {
  for (const [name, answer] of Object.entries(CASES)) {
    it(`ends the attempt, and its caller is told, if it is made of ${name}`, async () => {
      const { reader } = await expectBounded(answer, 'lost');
      await until(() => reader?.statuses.length === 1, TIMEOUT);
      expect(reader?.statuses).toEqual([502]);
    });
  }

  for (const [name, answer] of Object.entries(BODIES)) {
    it(`is streamed until the deadline and does not look complete, if it is made of ${name}`, async () => {
      const { caller, reader, turns } = await expectBounded(answer, 'lost');
      await until(() => caller.isClosed, TIMEOUT);
      expect(caller.isClosed).toEqual(true);
      expect((reader?.bytes ?? 0) > 256 * 1024).toEqual(true);
      expect(reader?.end.endsWith('0\r\n\r\n')).toEqual(false);
      expect(reader?.statuses).toEqual([200]);
      // The loop went on meanwhile.
      expect(turns > 3).toEqual(true);
    });
  }

  it('is held up to a bound while its caller does not read', async () => {
    await expectBounded(BODIES['chunks'] as EndlessAnswer, 'lost', false);
  });

  it('is a rejection as soon as its head says so', async () => {
    const answer = {
      start: `HTTP/1.1 503 Full\r\n${REJECTED}Transfer-Encoding: chunked\r\n\r\n`,
      repeated: `400\r\n${'x'.repeat(0x400)}\r\n`,
    };
    await expectBounded(answer, 'rejected');
  });

  it('with a status that promises that the request has not run is not passed on', async () => {
    const answer = {
      start: `HTTP/1.1 503 Down\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n`,
      repeated: `400\r\n${'x'.repeat(0x400)}\r\n`,
    };
    const { reader } = await expectBounded(answer, 'ambiguousAnswer');
    await until(() => reader?.statuses.length === 1, TIMEOUT);
    expect(reader?.statuses).toEqual([502]);
  });
});
