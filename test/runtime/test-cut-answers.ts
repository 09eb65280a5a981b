/** Guards against a part of a server's answer that the first core's callers take for a whole one. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { createConnection, type AddressInfo, type Socket } from 'node:net';
import type { AttemptEndedEvent, DaemonEvent, RequestArrivedEvent } from '../../src/core/events.js';
import { RequestBridge } from '../../src/runtime/request-bridge.js';
import { ServerClient } from '../../src/runtime/server-client.js';
import { cutAt, headLength, play, type PlayedAnswer, range, readAnswer } from '../support/cut-answers.js';
import { until } from '../support/frontend-fixture.js';
import { startServer, stopServers, type TestServer } from '../support/http-servers.js';
import { RawServer } from '../support/raw-server.js';

const TIMEOUT = 5_000;
const BODY = 'x'.repeat(30);
const CHUNKS = `1e\r\n${BODY}\r\n0\r\n\r\n`;
const BAD_GATEWAY = 502;

const DELIMITED: Readonly<Record<string, string>> = {
  'a length': `HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'a length and a close': `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 30\r\n\r\n${BODY}`,
  chunks: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  'chunks and a close': `HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
};
const UNDELIMITED = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${BODY}`;

let server: RawServer | undefined;
let front: TestServer | undefined;
let client: ServerClient | undefined;
const callers: Socket[] = [];

afterEach(async () => {
  callers.splice(0).forEach((caller) => caller.destroy());
  client?.close();
  if (front !== undefined) {
    stopServers(front);
  }
  await server?.close();
});

/** Starts a daemon's bridge that sends each request to a server which plays the answer that the request's path names. */
async function start(answers: readonly PlayedAnswer[]): Promise<number> {
  const raw = await RawServer.start((socket, head) => {
    const answer = answers[Number(/^GET \/(\d+) /.exec(head)?.[1])];
    if (answer !== undefined) {
      void play(socket, answer, '');
    }
  });
  server = raw;
  client = new ServerClient();
  const bridge: RequestBridge = new RequestBridge(
    client,
    (event) => react(bridge, raw.address, event),
    () => 0,
  );
  front = await startServer((incoming, outgoing) => void bridge.receive(incoming, outgoing, 1_000_000));
  return (front.server.address() as AddressInfo).port;
}

function react(bridge: RequestBridge, address: string, event: DaemonEvent): void {
  if (event.kind === 'requestArrived') {
    forward(bridge, address, event);
  } else if (event.kind === 'attemptEnded') {
    answerFailure(bridge, event);
  }
}

function forward(bridge: RequestBridge, address: string, { requestId }: RequestArrivedEvent): void {
  const place = { server: 's-1', address, connections: 24, hops: 1, toOtherSide: false };
  void bridge.forward({ kind: 'forward', requestId, attempt: 1, ...place, token: null, deadlineAt: 1_000 });
}

function answerFailure(bridge: RequestBridge, { requestId, result }: AttemptEndedEvent): void {
  if (result.kind !== 'answered') {
    const problem = { title: 'lost', detail: 'lost', outcome: 'unknown', retryAfterSeconds: null } as const;
    bridge.answer({ kind: 'answer', requestId, status: BAD_GATEWAY, ...problem });
  }
}

/** Returns the successes that callers took for whole, by the name of the answer. */
async function wholeSuccesses(answers: readonly PlayedAnswer[]): Promise<string[]> {
  const port = await start(answers);
  const successes: string[] = [];
  for (const [index, { name }] of answers.entries()) {
    let text = '';
    let isInOrder = false;
    let isClosed = false;
    const caller = createConnection({ host: '127.0.0.1', port });
    callers.push(caller);
    caller.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    caller.on('end', () => (isInOrder = true));
    caller.on('error', () => undefined);
    caller.on('close', () => (isClosed = true));
    caller.write(`GET /${index} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n`);
    await until(() => isClosed, TIMEOUT);
    if ((readAnswer(text, 'GET', isInOrder)?.status ?? BAD_GATEWAY) !== BAD_GATEWAY) {
      successes.push(name);
    }
  }
  return successes.slice(0, 5);
}

describe("the first core's answer of a server that breaks off", () => {
  for (const [name, answer] of Object.entries(DELIMITED)) {
    it(`does not look whole, with ${name}`, async () => {
      const cuts = cutAt(name, answer, range(0, answer.length), ['half-closed']);
      const resets = cutAt(name, answer, range(0, answer.length), ['reset']);
      expect(await wholeSuccesses([...cuts, ...resets])).toEqual([]);
    });
  }

  it('within its head does not look whole, without a length', async () => {
    const cuts = cutAt('no length', UNDELIMITED, range(0, headLength(UNDELIMITED)), ['half-closed', 'reset']);
    expect(await wholeSuccesses(cuts)).toEqual([]);
  });

  it('by a reset does not look whole, without a length', async () => {
    const lengths = range(headLength(UNDELIMITED), UNDELIMITED.length);
    expect(await wholeSuccesses(cutAt('no length', UNDELIMITED, lengths, ['reset']))).toEqual([]);
  });
});
