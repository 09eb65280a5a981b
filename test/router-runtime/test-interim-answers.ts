/** Guards against servers that send interim answers (RFC 9110, section 15.2) which nobody has asked for. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import {
  AnswerPlayer,
  cutAt,
  ID,
  isLost,
  type PlayedAnswer,
  range,
  unexpected,
} from '../support/cut-answers.js';
import { FrontendFixture, get, pause, until } from '../support/frontend-fixture.js';
import { ProxiedFrontends } from '../support/proxied-frontends.js';
import { RawServer } from '../support/raw-server.js';

const TIMEOUT = 5_000;
const MEBIBYTE = 1024 * 1024;
const BODY = 'the whole body';
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const PROCESSING = 'HTTP/1.1 102 Processing\r\n\r\n';
const HINTS = 'HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n';
const FINAL = [
  'HTTP/1.1 200 OK',
  `Fennelferry-Attempt-Id: ${ID}`,
  'Fennelferry-Server-Seal: s.1',
  `Content-Length: ${BODY.length}`,
  '',
  BODY,
].join('\r\n');

let player: AnswerPlayer | undefined;
let server: RawServer | undefined;
let fixture: FrontendFixture | undefined;
let frontends: ProxiedFrontends | undefined;

afterEach(async () => {
  await player?.close();
  fixture?.close();
  frontends?.close();
  await server?.close();
});

async function playAll(answers: readonly PlayedAnswer[]): ReturnType<AnswerPlayer['playAll']> {
  player = await AnswerPlayer.start(answers);
  return player.playAll();
}

async function expectWhole(answers: readonly PlayedAnswer[], body = BODY): Promise<void> {
  const isWhole = (outcome: Awaited<ReturnType<typeof playAll>>[number]): boolean =>
    outcome.result?.kind === 'answered' && outcome.answer?.status === 200 && outcome.answer.body === body;
  expect(unexpected(await playAll(answers), isWhole)).toEqual([]);
}

function finalAnswer(head: string): string {
  return FINAL.replace(ID, /fennelferry-attempt-id: (\S+)/i.exec(head)?.[1] ?? '');
}

/** Sends a request on a connection that a server has kept open. */
async function requestTwice(
  respond: (count: number, answer: string) => readonly string[],
): Promise<{ started: FrontendFixture; connections: number }> {
  let count = 0;
  const raw = await RawServer.start((socket, head) => {
    count += 1;
    const [first = '', ...later] = respond(count, finalAnswer(head));
    socket.write(first);
    later.forEach((part) => setTimeout(() => socket.write(part), 20));
  });
  server = raw;
  const started = await FrontendFixture.start(raw.address);
  fixture = started;
  const caller = started.connect();
  caller.socket.write(get('a-1'));
  await until(() => started.results.length === 1, TIMEOUT);
  await pause(60);
  caller.socket.write(get('a-2'));
  await until(() => started.results.length === 2, TIMEOUT);
  return { started, connections: raw.connections };
}

describe('the answer behind interim answers', () => {
  // A server that sends "100 Continue" before each answer lost all its answers.
  for (const [name, interim] of Object.entries({
    '100 Continue': CONTINUE,
    '100 Continue without a reason': 'HTTP/1.1 100\r\n\r\n',
    '100 Continue with headers': 'HTTP/1.1 100 Continue\r\nServer: x\r\nDate: y\r\n\r\n',
    '100 Continue of HTTP/1.0': 'HTTP/1.0 100 Continue\r\nConnection: keep-alive\r\n\r\n',
    '102 Processing': PROCESSING,
    '103 Early Hints': HINTS,
    'an unknown one': 'HTTP/1.1 199 Unknown\r\n\r\n',
    'several, the last of which is 100 Continue': `${HINTS}${PROCESSING}${CONTINUE}`,
    'several, the first of which is 100 Continue': `${CONTINUE}${CONTINUE}${HINTS}`,
    '100 Continue behind an empty line': `\r\n${CONTINUE}`,
  })) {
    it(`is taken: ${name}`, async () => {
      await expectWhole([{ name, parts: [interim + FINAL], ending: 'stays open' }]);
    });
  }

  // Guards against a status line that is only recognized when it arrives in one piece.
  it('is taken wherever the bytes are split', async () => {
    const bytes = CONTINUE + HINTS + CONTINUE + FINAL;
    const splits = range(1, bytes.length).map((length): PlayedAnswer => {
      const parts = [bytes.slice(0, length), bytes.slice(length)];
      return { name: `split after ${length} bytes`, parts, ending: 'stays open' };
    });
    await expectWhole(splits);
  });

  it('keeps its connection usable', async () => {
    const { started, connections } = await requestTwice((_count, answer) => [CONTINUE + answer]);
    expect(started.results.map(({ kind }) => kind)).toEqual(['answered', 'answered']);
    expect(connections).toEqual(1);
  });

  it('is taken by way of another daemon', async () => {
    server = await RawServer.start((socket, head) => void socket.write(CONTINUE + finalAnswer(head)));
    frontends = await ProxiedFrontends.start(server.address);
    const exchange = frontends.exchange(get('a-1'), (received) => received.endsWith(BODY));
    const { text } = await Promise.race([exchange, pause(TIMEOUT).then(() => ({ text: '' }))]);
    expect([text.slice(0, 15), text.endsWith(BODY)]).toEqual(['HTTP/1.1 200 OK', true]);
  });
});

describe('a body', () => {
  const LIKE_INTERIM = `${CONTINUE}${HINTS}${CONTINUE}`;
  const [head = ''] = FINAL.split('Content-Length');

  // Guards against a body whose bytes are taken for an interim answer.
  it('that looks like interim answers is unchanged, wherever the bytes are split', async () => {
    const bytes = `${CONTINUE}${head}Content-Length: ${LIKE_INTERIM.length}\r\n\r\n${LIKE_INTERIM}`;
    const splits = range(CONTINUE.length, bytes.length).map((length): PlayedAnswer => {
      const parts = [bytes.slice(0, length), bytes.slice(length)];
      return { name: `split after ${length} bytes`, parts, ending: 'stays open' };
    });
    await expectWhole(splits, LIKE_INTERIM);
  });

  it('that looks like interim answers is unchanged without a length', async () => {
    const parts = [`${head}\r\n`, LIKE_INTERIM];
    await expectWhole([{ name: 'until the end', parts, ending: 'half-closed' }], LIKE_INTERIM);
  });
});

describe('a request with interim answers and no final one', () => {
  // Guards against an interim answer, or a part of a head behind it, that passes for an answer.
  for (const [name, interim] of Object.entries({ CONTINUE, PROCESSING, HINTS })) {
    it(`may have run wherever the server breaks off: ${name}`, async () => {
      const bytes = interim + FINAL;
      const plays = cutAt(name, bytes, range(0, bytes.indexOf(BODY)));
      expect(unexpected(await playAll(plays), isLost)).toEqual([]);
    });
  }

  it('may have run when the server switches protocols', async () => {
    const upgrade = 'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n';
    const bare = 'HTTP/1.1 101 Switching Protocols\r\n\r\n';
    const plays = [upgrade, bare, upgrade + FINAL, bare + FINAL, CONTINUE + bare + FINAL].map(
      (bytes): PlayedAnswer => ({ name: bytes, parts: [bytes], ending: 'half-closed' }),
    );
    expect(unexpected(await playAll(plays), isLost)).toEqual([]);
  });

  // Guards against a server that holds a request, memory and processor time with interim answers alone.
  for (const [name, interim] of Object.entries({ CONTINUE, PROCESSING, HINTS })) {
    it(`ends after a bounded number of them: ${name}`, async () => {
      const before = process.memoryUsage().rss;
      const startedAt = performance.now();
      const parts = Array.from({ length: 10 }, () => interim.repeat(1_000));
      const outcomes = await playAll([{ name, parts, ending: 'stays open' }]);
      expect(unexpected(outcomes, isLost)).toEqual([]);
      expect(performance.now() - startedAt < TIMEOUT).toEqual(true);
      expect(process.memoryUsage().rss - before < 32 * MEBIBYTE).toEqual(true);
    });
  }
});

describe('an interim answer that belongs to no request', () => {
  // Guards against bytes of no request that are taken for the beginning of the next answer.
  for (const [name, interim] of Object.entries({ CONTINUE, PROCESSING, HINTS })) {
    it(`closes its idle connection: ${name}`, async () => {
      const { started, connections } = await requestTwice((_count, answer) => [answer, interim]);
      expect(started.results.map(({ kind }) => kind)).toEqual(['answered', 'answered']);
      expect(connections).toEqual(2);
    });

    it(`closes its connection when it arrives together with an answer: ${name}`, async () => {
      const { started, connections } = await requestTwice((_count, answer) => [answer + interim]);
      expect(started.results.map(({ kind }) => kind)).toEqual(['answered', 'answered']);
      expect(connections).toEqual(2);
    });
  }
});
