import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import type { Socket } from 'node:net';
import { Attempt, type AnswerSink, type AttemptListener } from '../../src/router-runtime/attempt.js';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';
import type { AttemptResult } from '../../src/router/events.js';
import type { LimitReading } from '../../src/router/model/server-limit.js';
import type { ServerNotice } from '../../src/router/model/server-notice.js';
import { REQUEST_PROTOCOL } from '../../platform/protocol.js';
import { RawServer, type RawResponder } from '../support/raw-server.js';

const ID = 'a-1';
const OWN = `Fennelferry-Attempt-Id: ${ID}\r\nFennelferry-Server-Seal: s.1\r\n`;

interface Outcome {
  readonly result: AttemptResult;
  readonly reusable: boolean;
  readonly body: string | null;
  readonly hasLength: boolean;
  readonly notices: readonly ServerNotice[];
  readonly limits: readonly LimitReading[];
}

let server: RawServer | undefined;
const connections = new ServerConnections(new PollBarrier());

afterEach(async () => {
  connections.close();
  await server?.close();
  server = undefined;
});

async function send(address: string): Promise<Outcome> {
  const connection = connections.take(address);
  if (connection === null) {
    throw new Error('no connection');
  }
  let body: string | null = null;
  let hasLength = true;
  const sink: AnswerSink = {
    whole: (_status, _headers, bytes, withLength) => {
      body = bytes.toString();
      hasLength = withLength;
    },
    begin: () => true,
    more: () => true,
    end: () => undefined,
    breakOff: () => undefined,
  };
  return new Promise((resolve) => {
    const request = {
      method: 'GET',
      path: '/a/1',
      headers: ['host', 'h.example'],
      body: null,
      attemptId: ID,
    };
    const notices: ServerNotice[] = [];
    const limits: LimitReading[] = [];
    const listener: AttemptListener = {
      noticed: (notice) => notices.push(notice),
      limitRead: (limit) => limits.push(limit),
      finished: (result, reusable) => {
        connections.release(address, connection, reusable);
        resolve({ result, reusable, body, hasLength, notices, limits });
      },
    };
    new Attempt(request, REQUEST_PROTOCOL, connection, sink, listener).start();
  });
}

async function answerTo(respond: RawResponder): Promise<Outcome> {
  server = await RawServer.start(respond);
  return send(server.address);
}

function reset(socket: Socket): void {
  setTimeout(() => socket.resetAndDestroy(), 20);
}

describe('an attempt at a server', () => {
  it('passes a whole answer on and keeps the connection', async () => {
    const outcome = await answerTo((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${OWN}Content-Length: 4\r\n\r\nbody`);
    });
    expect(outcome.result.kind).toEqual('answered');
    expect(outcome.body).toEqual('body');
    expect(outcome.reusable).toEqual(true);
  });

  it('takes an answer without a length as whole when its connection ends in order', async () => {
    const outcome = await answerTo((socket) => {
      socket.end(`HTTP/1.1 200 OK\r\n${OWN}\r\nall of it`);
    });
    expect(outcome.result.kind).toEqual('answered');
    expect(outcome.body).toEqual('all of it');
    expect(outcome.hasLength).toEqual(false);
    expect(outcome.reusable).toEqual(false);
  });

  it('does not take an answer without a length as whole when its connection is reset', async () => {
    const outcome = await answerTo((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${OWN}\r\npart`);
      reset(socket);
    });
    expect(outcome.result.kind).toEqual('lost');
    expect(outcome.body).toEqual(null);
  });

  it('does not pass an answer on that is shorter than its length', async () => {
    const outcome = await answerTo((socket) => {
      socket.end(`HTTP/1.1 200 OK\r\n${OWN}Content-Length: 10\r\n\r\npart`);
    });
    expect(outcome.result.kind).toEqual('lost');
    expect(outcome.body).toEqual(null);
  });

  it('tells what the head and the trailers say of the server, whatever becomes of the answer', async () => {
    const whole = await answerTo((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${OWN}Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n`);
    });
    expect(whole.notices).toEqual([{ leaving: true, rest: null }]);
    await server?.close();
    const rejected = await answerTo((socket) => {
      const head = 'Fennelferry-Not-Executed: 1\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n';
      socket.write(`HTTP/1.1 503 Full\r\n${head}\r\n`);
    });
    expect(rejected.notices).toEqual([{ leaving: false, rest: 2_500 }]);
    await server?.close();
    const broken = await answerTo((socket) => {
      socket.end(`HTTP/1.1 200 OK\r\n${OWN}Server-Leaving: 1\r\nContent-Length: 10\r\n\r\npart`);
    });
    expect(broken.result.kind).toEqual('lost');
    expect(broken.notices).toEqual([{ leaving: true, rest: null }]);
    await server?.close();
    const trailing = await answerTo((socket) => {
      const head = `${OWN}Transfer-Encoding: chunked\r\nTrailer: Server-Leaving\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n2\r\nok\r\n0\r\nServer-Leaving: 1\r\n\r\n`);
    });
    expect(trailing.result.kind).toEqual('answered');
    expect(trailing.notices).toEqual([{ leaving: true, rest: null }]);
  });

  it('does not pass the answer to another request on', async () => {
    const outcome = await answerTo((socket) => {
      const head = 'Fennelferry-Attempt-Id: other\r\nFennelferry-Server-Seal: s.1\r\nContent-Length: 4\r\n';
      socket.write(`HTTP/1.1 200 OK\r\n${head}\r\nbody`);
    });
    expect(outcome.result.kind).toEqual('lost');
    expect(outcome.body).toEqual(null);
    expect(outcome.reusable).toEqual(false);
  });

  it('does not pass bytes on that are no answer', async () => {
    const outcome = await answerTo((socket) => socket.write('what is this\r\n\r\n'));
    expect(outcome.result.kind).toEqual('lost');
    expect(outcome.body).toEqual(null);
  });

  it('reads a rejection as not run', async () => {
    const outcome = await answerTo((socket) => {
      socket.write(`HTTP/1.1 503 Busy\r\nFennelferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
    });
    expect(outcome.result.kind).toEqual('rejected');
    expect(outcome.reusable).toEqual(true);
  });

  it('tells of the limit that an answer names, whatever the answer is', async () => {
    const notRun = 'Fennelferry-Not-Executed: 1\r\nContent-Length: 0\r\n';
    const heads = [
      `200 OK\r\n${OWN}Content-Length: 0\r\n`,
      `204 None\r\n${OWN}`,
      `500 Error\r\n${OWN}Content-Length: 0\r\n`,
      `503 Busy\r\n${notRun}`,
      `421 Elsewhere\r\n${notRun}`,
    ];
    for (const head of heads) {
      const outcome = await answerTo((socket) => {
        socket.write(`HTTP/1.1 ${head}Server-Limit: 3.2\r\n\r\n`);
      });
      expect(outcome.limits).toEqual([3.2]);
      await server?.close();
    }
  });

  it('tells that an answer names no limit only when it is the own answer of the server for certain', async () => {
    const cases: readonly (readonly [string, readonly LimitReading[]])[] = [
      [`200 OK\r\n${OWN}Content-Length: 0\r\n`, [null]],
      ['503 Busy\r\nFennelferry-Not-Executed: 1\r\nContent-Length: 0\r\n', [null]],
      ['421 Elsewhere\r\nFennelferry-Not-Executed: 1\r\nContent-Length: 0\r\n', []],
      ['502 Broken\r\nContent-Length: 0\r\n', []],
      [`200 OK\r\n${OWN.replace(ID, 'a-0')}Content-Length: 0\r\n`, []],
    ];
    for (const [head, limits] of cases) {
      const outcome = await answerTo((socket) => {
        socket.write(`HTTP/1.1 ${head}\r\n`);
      });
      expect(outcome.limits).toEqual(limits);
      await server?.close();
    }
  });

  it('does not use a connection again that held more than one answer', async () => {
    let answers = 0;
    const respond: RawResponder = (socket) => {
      answers += 1;
      const answer = `HTTP/1.1 200 OK\r\n${OWN}Content-Length: 4\r\n\r\nbody`;
      socket.write(answers === 1 ? answer + answer.replace('body', 'late') : answer);
    };
    expect((await answerTo(respond)).body).toEqual('body');
    expect((await send((server as RawServer).address)).body).toEqual('body');
    expect(server?.connections).toEqual(2);
  });

  it('says that a request never left when nothing listens', async () => {
    const gone = await RawServer.start(() => undefined);
    const { address } = gone;
    await gone.close();
    expect((await send(address)).result.kind).toEqual('notSent');
  });
});
