/** Guards against answers that are credited to a request which they don't belong to: servers may answer twice, the second time late. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import type { Socket } from 'node:net';
import { FrontendFixture, post, until } from '../support/frontend-fixture.js';
import { RawServer, type RawResponder } from '../support/raw-server.js';

const TIMEOUT_MILLISECONDS = 5_000;
const REJECTION = 'HTTP/1.1 503 Full\r\nFennelferry-Not-Executed: 1\r\nContent-Length: 0\r\n';

let server: RawServer | undefined;
let fixture: FrontendFixture | undefined;

afterEach(async () => {
  fixture?.close();
  await server?.close();
});

function idOf(head: string): string {
  return /fennelferry-attempt-id: (\S+)/i.exec(head)?.[1] ?? '';
}

function answerOf(id: string, status = '200 OK'): string {
  const own = `Fennelferry-Attempt-Id: ${id}\r\nFennelferry-Server-Seal: s.1\r\n`;
  return `HTTP/1.1 ${status}\r\n${own}Content-Length: 4\r\n\r\nbody`;
}

function rejectionOf(id: string): string {
  return `${REJECTION}Fennelferry-Attempt-Id: ${id}\r\n\r\n`;
}

async function start(respond: RawResponder): Promise<FrontendFixture> {
  server = await RawServer.start(respond);
  fixture = await FrontendFixture.start(server.address);
  return fixture;
}

/** Answers the first request on each connection, and sends `surplus` before the answer to the second one. */
function answerWithSurplus(surplus: string): RawResponder {
  const used = new Set<Socket>();
  return (socket, head) => {
    socket.write(used.has(socket) ? surplus + answerOf(idOf(head)) : answerOf(idOf(head)));
    used.add(socket);
  };
}

/** Sends two requests one after the other, and returns the results of their attempts. */
async function sendTwo(surplus: string): Promise<FrontendFixture['results']> {
  const started = await start(answerWithSurplus(surplus));
  const caller = started.connect();
  caller.socket.write(post('a-1', 'x'));
  expect(await until(() => started.results.length === 1, TIMEOUT_MILLISECONDS)).toEqual(true);
  caller.socket.write(post('a-2', 'y'));
  expect(await until(() => started.results.length === 2, TIMEOUT_MILLISECONDS)).toEqual(true);
  return started.results;
}

describe('a surplus answer', () => {
  // A server that had run the request was believed not to have run it: 118 of 20,000 attempts in a trial.
  it('that is a rejection without an id proves nothing of the next request', async () => {
    const results = await sendTwo(`${REJECTION}\r\n`);
    expect(results.map(({ kind }) => kind)).toEqual(['answered', 'lost']);
  });

  it('that says "misdirected" without an id proves nothing of the next request', async () => {
    const results = await sendTwo('HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n');
    expect(results.map(({ kind }) => kind)).toEqual(['answered', 'lost']);
  });

  // The next caller would have got the failure of somebody else's request.
  it('that is a failure without an id is not passed on to the next caller', async () => {
    const failure = 'HTTP/1.1 500 Error\r\nFennelferry-Server-Seal: s.1\r\nContent-Length: 0\r\n\r\n';
    const results = await sendTwo(failure);
    expect(results.map(({ kind }) => kind)).toEqual(['answered', 'lost']);
  });

  it('that names another request proves nothing of the next one', async () => {
    const results = await sendTwo(rejectionOf('a-1'));
    expect(results.map(({ kind }) => kind)).toEqual(['answered', 'lost']);
  });

  // The second rejection of the first attempt names the second attempt as well, which runs.
  it('to a rejected attempt is not taken for the answer to the next attempt of the same request', async () => {
    const run: string[] = [];
    const rejected = new Map<Socket, string>();
    let requests = 0;
    const started = await start((socket, head) => {
      const id = idOf(head);
      requests += 1;
      if (requests === 1) {
        rejected.set(socket, rejectionOf(id));
        socket.write(rejectionOf(id));
        return;
      }
      run.push(id);
      socket.write((rejected.get(socket) ?? '') + answerOf(id));
    });
    started.onAttemptEnded = ({ requestId, attempt, result }) => {
      if (result.kind === 'rejected' && attempt === 1) {
        started.forward({ requestId }, 2);
      }
    };
    started.connect().socket.write(post('a-1', 'x'));
    expect(await until(() => started.results.length === 2, TIMEOUT_MILLISECONDS)).toEqual(true);
    expect(run).toEqual(['a-1']);
    expect(started.results.map(({ kind }) => kind)).toEqual(['rejected', 'answered']);
  });
});

describe('the answer of a server with a status that promises that the request has not run', () => {
  // The router promises nothing by a status that it passes on, but its caller can't tell.
  for (const status of ['408 Late', '429 Many', '503 Down']) {
    it(`is not passed on without the server's statement: ${status}`, async () => {
      const started = await start((socket, head) => void socket.write(answerOf(idOf(head), status)));
      const caller = started.connect();
      caller.socket.write(post('a-1', 'x'));
      expect(await until(() => started.results.length === 1, TIMEOUT_MILLISECONDS)).toEqual(true);
      expect(started.results.map(({ kind }) => kind)).toEqual(['ambiguousAnswer']);
      expect(caller.statuses).toEqual([]);
    });
  }

  it('is not streamed either', async () => {
    const started = await start((socket, head) => {
      const own = `Fennelferry-Attempt-Id: ${idOf(head)}\r\nFennelferry-Server-Seal: s.1\r\n`;
      socket.write(`HTTP/1.1 503 Down\r\n${own}Content-Length: 400000\r\n\r\n${'x'.repeat(400_000)}`);
    });
    const caller = started.connect();
    caller.socket.write(post('a-1', 'x'));
    expect(await until(() => started.results.length === 1, TIMEOUT_MILLISECONDS)).toEqual(true);
    expect(started.results.map(({ kind }) => kind)).toEqual(['ambiguousAnswer']);
    expect(caller.statuses).toEqual([]);
  });
});
