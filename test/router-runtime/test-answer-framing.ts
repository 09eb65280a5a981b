/** Guards against parts of answers that callers take for whole ones: heads and bodies that break off, and framing that is malformed or ambiguous. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import {
  AnswerPlayer,
  CUT_ENDINGS,
  cutAt,
  headLength,
  ID,
  isLost,
  type PlayedAnswer,
  type PlayedOutcome,
  range,
  unexpected,
} from '../support/cut-answers.js';

const BODY = 'x'.repeat(30);
const OWN = `Fennelferry-Attempt-Id: ${ID}\r\nFennelferry-Server-Seal: s.1\r\n`;
const HEAD = `HTTP/1.1 200 OK\r\n${OWN}`;
const CHUNKS = `1e\r\n${BODY}\r\n0\r\n\r\n`;

/** Answers whose end is stated or marked. */
const DELIMITED: Readonly<Record<string, string>> = {
  'a length': `${HEAD}Content-Length: 30\r\nX-Late: 1\r\n\r\n${BODY}`,
  'a length before the id': `HTTP/1.1 200 OK\r\nContent-Length: 30\r\n${OWN}\r\n${BODY}`,
  'a length and a close': `${HEAD}Connection: close\r\nContent-Length: 30\r\n\r\n${BODY}`,
  chunks: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  'chunks and a close': `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  'chunks, an extension and a trailer': `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\na;x=1\r\n${BODY.slice(0, 10)}\r\n14\r\n${BODY.slice(10)}\r\n0\r\nX-Trailer: 1\r\n\r\n`,
  'HTTP/1.0 and a length': `HTTP/1.0 200 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'HTTP/1.0 and chunks': `HTTP/1.0 200 OK\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
};
/** Answers that end with their connection, or with their head. */
const UNDELIMITED: Readonly<Record<string, string>> = {
  'no length': `${HEAD}\r\n${BODY}`,
  'no length and a close': `${HEAD}Connection: close\r\n\r\n${BODY}`,
  'HTTP/1.0 and no length': `HTTP/1.0 200 OK\r\n${OWN}\r\n${BODY}`,
  'status 204': `HTTP/1.1 204 No Content\r\n${OWN}\r\n`,
  'status 304 and a close': `HTTP/1.1 304 Not Modified\r\n${OWN}Connection: close\r\n\r\n`,
};

let player: AnswerPlayer | undefined;

afterEach(async () => {
  await player?.close();
});

async function playAll(answers: readonly PlayedAnswer[]): Promise<PlayedOutcome[]> {
  player = await AnswerPlayer.start(answers);
  return player.playAll();
}

/** The answer with each ending, whole and without its last bytes. */
function withEndings(name: string, answer: string, method = 'GET'): PlayedAnswer[] {
  return [0, 1, 2, 5, 29].flatMap((missing) =>
    cutAt(`${name} without ${missing} bytes`, answer, [Math.max(0, answer.length - missing)]).map(
      (played) => ({ ...played, method }),
    ),
  );
}

async function expectLost(answers: readonly PlayedAnswer[]): Promise<void> {
  expect(unexpected(await playAll(answers), isLost)).toEqual([]);
}

describe('an answer that breaks off', () => {
  for (const [name, answer] of Object.entries(DELIMITED)) {
    // Guards against a part of an answer that the caller gets as a whole one.
    it(`is lost, wherever and however it does, with ${name}`, async () => {
      await expectLost(cutAt(name, answer, range(0, answer.length)));
    });
  }

  for (const [name, answer] of Object.entries(UNDELIMITED)) {
    // Guards against a head that ends with its connection and passes for one with an empty body.
    it(`within its head is lost, wherever and however it does, with ${name}`, async () => {
      await expectLost(cutAt(name, answer, range(0, headLength(answer))));
    });
  }

  it('within its status line is lost', async () => {
    const lines = ['H', 'HTTP/1.1', 'HTTP/1.1 ', 'HTTP/1.1 2', 'HTTP/1.1 200', 'HTTP/1.1 200 OK\r\n\r'];
    await expectLost(lines.flatMap((line) => cutAt(line, line, [line.length])));
  });
});

const CODED: Readonly<Record<string, string>> = {
  gzip: `${HEAD}Transfer-Encoding: gzip\r\n\r\n${BODY}`,
  identity: `${HEAD}Transfer-Encoding: identity\r\n\r\n${BODY}`,
  'gzip, chunked': `${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n${CHUNKS}`,
  'chunked, gzip': `${HEAD}Transfer-Encoding: chunked, gzip\r\n\r\n${CHUNKS}`,
  'chunked, chunked': `${HEAD}Transfer-Encoding: chunked, chunked\r\n\r\n${CHUNKS}`,
  'chunked twice': `${HEAD}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  'gzip and chunked': `${HEAD}Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  xchunked: `${HEAD}Transfer-Encoding: xchunked\r\n\r\n${CHUNKS}`,
  'a quoted name': `${HEAD}Transfer-Encoding: "chunked"\r\n\r\n${CHUNKS}`,
  nothing: `${HEAD}Transfer-Encoding:\r\n\r\n${BODY}`,
  'gzip of HTTP/1.0': `HTTP/1.0 200 OK\r\n${OWN}Transfer-Encoding: gzip\r\n\r\n${BODY}`,
  'gzip of 400,000 bytes': `${HEAD}Transfer-Encoding: gzip\r\n\r\n${'x'.repeat(400_000)}`,
};

describe('an answer with a transfer coding other than chunked', () => {
  // A part of such an answer was passed on with a length, and a body that its caller can't decode as the server's.
  for (const [name, answer] of Object.entries(CODED)) {
    it(`is lost: ${name}`, async () => {
      await expectLost(withEndings(name, answer));
    });
  }
});

const MALFORMED: Readonly<Record<string, string>> = {
  'two lengths': `${HEAD}Content-Length: 10\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'two lengths, the longer first': `${HEAD}Content-Length: 30\r\nContent-Length: 10\r\n\r\n${BODY}`,
  'a list of lengths': `${HEAD}Content-Length: 10, 10\r\n\r\n${BODY}`,
  'a length with a sign': `${HEAD}Content-Length: +30\r\n\r\n${BODY}`,
  'a negative length': `${HEAD}Content-Length: -30\r\n\r\n${BODY}`,
  'an empty length': `${HEAD}Content-Length: \r\n\r\n${BODY}`,
  'a hexadecimal length': `${HEAD}Content-Length: 0x1e\r\n\r\n${BODY}`,
  'a length beyond all numbers': `${HEAD}Content-Length: 99999999999999999999999\r\n\r\n${BODY}`,
  'a length beyond 2^53': `${HEAD}Content-Length: 9007199254740993\r\n\r\n${BODY}`,
  'a length that is longer than the body': `${HEAD}Content-Length: 40\r\n\r\n${BODY}`,
  'a length and chunks': `${HEAD}Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNKS}`,
  'chunks and a length': `${HEAD}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n${CHUNKS}`,
  'a length and another coding': `${HEAD}Content-Length: 10\r\nTransfer-Encoding: gzip\r\n\r\n${BODY}`,
  'a blank before a colon': `${HEAD}Content-Length : 10\r\n\r\n${BODY}`,
  'line folding': `${HEAD}X-Folded: a\r\n b\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'line folding of the length': `${HEAD}Content-Length:\r\n 30\r\n\r\n${BODY}`,
  'line folding behind the status': `HTTP/1.1 200 OK\r\n X: 1\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'bare LF': `${HEAD}Content-Length: 30\r\n\r\n`.replaceAll('\r\n', '\n') + BODY,
  'a bare LF behind the status': `HTTP/1.1 200 OK\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'a bare CR': `${HEAD}X: a\rContent-Length: 10\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'no head': BODY,
  'no head but a document': `<html>${BODY}</html>\r\n\r\n`,
  'HTTP/1.2': `HTTP/1.2 200 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'the version in lower case': `http/1.1 200 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'a status of two digits': `HTTP/1.1 20 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'a status of four digits': `HTTP/1.1 2000 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'status 000': `HTTP/1.1 000 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'a NUL in a value': `${HEAD}X-N: a\0b\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'a NUL in a name': `${HEAD}X\0N: a\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'a control character': `${HEAD}X-N: a\u0001b\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'a line without a colon': `${HEAD}garbage\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'a chunk size beyond all numbers': `${HEAD}Transfer-Encoding: chunked\r\n\r\n1e0000000000000000\r\n${BODY}\r\n0\r\n\r\n`,
  'a negative chunk size': `${HEAD}Transfer-Encoding: chunked\r\n\r\n-1e\r\n${BODY}\r\n0\r\n\r\n`,
  'an empty chunk size': `${HEAD}Transfer-Encoding: chunked\r\n\r\n\r\n${BODY}\r\n0\r\n\r\n`,
  'chunks with bare LF': `${HEAD}Transfer-Encoding: chunked\r\n\r\n1e\n${BODY}\n0\n\n`,
  'a chunk that is too short': `${HEAD}Transfer-Encoding: chunked\r\n\r\n20\r\n${BODY}\r\n0\r\n\r\n`,
  'a chunk that is too long': `${HEAD}Transfer-Encoding: chunked\r\n\r\n10\r\n${BODY}\r\n0\r\n\r\n`,
  'a length in a trailer': `${HEAD}Transfer-Encoding: chunked\r\n\r\n1e\r\n${BODY}\r\n0\r\nContent-Length: 5\r\n\r\n`,
};

describe('an answer that is malformed', () => {
  // Guards against answers that a lenient client reads in another way than their server meant.
  for (const [name, answer] of Object.entries(MALFORMED)) {
    it(`is lost: ${name}`, async () => {
      await expectLost(withEndings(name, answer));
    });
  }
});

const WHOLE: Readonly<Record<string, string>> = {
  ...DELIMITED,
  'blanks around a length': `${HEAD}Content-Length: \t 30 \r\n\r\n${BODY}`,
  'zeros before a length': `${HEAD}Content-Length: 0030\r\n\r\n${BODY}`,
  'no reason': `HTTP/1.1 200\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'empty lines before it': `\r\n\r\nHTTP/1.1 200 OK\r\n${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'bytes beyond ASCII': `${HEAD}X-N: a\u00e9\u00ff\r\nContent-Length: 30\r\n\r\n${BODY}`,
  'the coding in upper case': `${HEAD}Transfer-Encoding: CHUNKED\r\n\r\n${CHUNKS}`,
  'surplus bytes behind its length': `${HEAD}Content-Length: 30\r\n\r\n${BODY}yyyyy`,
};

describe('an answer that is whole', () => {
  for (const [name, answer] of Object.entries(WHOLE)) {
    it(`is passed on as such, however its connection ends, with ${name}`, async () => {
      const plays = (['stays open', 'half-closed', 'held, then closed'] as const).map(
        (ending): PlayedAnswer => ({ name: `${name}, ${ending}`, parts: [answer], ending }),
      );
      const isWhole = ({ answer: read }: PlayedOutcome): boolean =>
        read?.status === 200 && read.body === BODY && read.head.includes('Fennelferry-Server-Seal: s.1\r\n');
      expect(unexpected(await playAll(plays), isWhole)).toEqual([]);
    });
  }
});

/** Answers without a body, with the method, the status, and the length that the caller is told. */
const BODILESS: Readonly<Record<string, readonly [string, string, number, string | null]>> = {
  'HEAD with a length': ['HEAD', `${HEAD}Content-Length: 30\r\n\r\n`, 200, '30'],
  'HEAD with chunks': ['HEAD', `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, 200, null],
  'HEAD without a length': ['HEAD', `${HEAD}\r\n`, 200, null],
  'HEAD and a close': ['HEAD', `${HEAD}Connection: close\r\nContent-Length: 30\r\n\r\n`, 200, '30'],
  'HEAD, and a body all the same': ['HEAD', `${HEAD}Content-Length: 30\r\n\r\n${BODY}`, 200, '30'],
  'status 304': ['GET', `HTTP/1.1 304 None\r\n${OWN}\r\n`, 304, null],
  'status 304 with a length': ['GET', `HTTP/1.1 304 None\r\n${OWN}Content-Length: 30\r\n\r\n`, 304, '30'],
  'status 204': ['GET', `HTTP/1.1 204 None\r\n${OWN}\r\n`, 204, '0'],
  'status 204 with length 0': ['GET', `HTTP/1.1 204 None\r\n${OWN}Content-Length: 0\r\n\r\n`, 204, '0'],
  'status 204 with a length': ['GET', `HTTP/1.1 204 None\r\n${OWN}Content-Length: 30\r\n\r\n`, 204, '0'],
  'status 204 with chunks': [
    'GET',
    `HTTP/1.1 204 None\r\n${OWN}Transfer-Encoding: chunked\r\n\r\n`,
    204,
    '0',
  ],
};

describe('an answer without a body', () => {
  for (const [name, [method, answer, status, length]] of Object.entries(BODILESS)) {
    // Guards against a length of another body than the server's, and against an answer that is lost for a length that it states.
    it(`is passed on with the length that its server states: ${name}`, async () => {
      const plays = (['stays open', 'half-closed', 'held, then closed'] as const).map(
        (ending): PlayedAnswer => ({ name: ending, method, parts: [answer], ending }),
      );
      const isWhole = ({ answer: read }: PlayedOutcome): boolean =>
        read?.status === status &&
        read.body === '' &&
        (/\r\ncontent-length: (\d+)\r\n/i.exec(read.head)?.[1] ?? null) === length;
      expect(unexpected(await playAll(plays), isWhole)).toEqual([]);
    });
  }

  it('is lost wherever its head breaks off', async () => {
    const plays = Object.entries(BODILESS).flatMap(([name, [method, answer]]) =>
      cutAt(name, answer, range(0, headLength(answer)), ['closed', 'reset']).map((played) => ({
        ...played,
        method,
      })),
    );
    await expectLost(plays);
  });
});

describe('an answer of more than 256 KiB that breaks off', () => {
  const FIRST = 'x'.repeat(300_000);
  const SECOND = 'y'.repeat(2_000);
  const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
  const CHUNKED = `${CHUNKED_HEAD}493e0\r\n${FIRST}\r\n7d0;x="1"\r\n${SECOND}\r\n0\r\nX-Trailer: 1\r\n\r\n`;
  const secondChunk = CHUNKED.indexOf('\r\n7d0');
  /** In the line of a chunk's size, between chunks, and from the last byte of the last chunk to the end of the trailers. */
  const CUTS = [
    ...range(secondChunk - 1, CHUNKED.indexOf('yy') + 2),
    ...range(CHUNKED.lastIndexOf('y'), CHUNKED.length),
  ];
  /** Whether the caller got no whole answer, or was told that its request may have run. */
  const isBrokenOff = ({ result, answer }: PlayedOutcome): boolean =>
    result?.kind === 'lost' && (answer === null || answer.status === 502);

  // Guards against a streamed answer whose end the daemon marks although its server has not.
  for (const ending of CUT_ENDINGS) {
    it(`does not look complete with chunks: ${ending}`, async () => {
      const plays = cutAt('chunks', CHUNKED, CUTS, [ending]);
      expect(unexpected(await playAll(plays), isBrokenOff)).toEqual([]);
    });

    it(`does not look complete with a length: ${ending}`, async () => {
      const answer = `${HEAD}Content-Length: 302000\r\n\r\n${FIRST}${SECOND}`;
      const plays = cutAt('a length', answer, range(answer.length - 10, answer.length), [ending]);
      expect(unexpected(await playAll(plays), isBrokenOff)).toEqual([]);
    });
  }

  // An answer whose end its server marks ended with the caller's connection: a part of it looked whole when the daemon was killed.
  it('is passed on in chunks if its server sends chunks', async () => {
    const [outcome] = await playAll([{ name: 'chunks', parts: [CHUNKED], ending: 'stays open' }]);
    expect(outcome?.answer?.head.includes('Transfer-Encoding: chunked\r\n')).toEqual(true);
    expect(outcome?.answer?.body === FIRST + SECOND).toEqual(true);
  });

  // A long answer that nothing shows to be the server's was passed on, while a short one was not.
  it('is lost without a seal', async () => {
    const seal = 'Fennelferry-Server-Seal: s.1\r\n';
    const long = `${HEAD}Content-Length: 300000\r\n\r\n${FIRST}`;
    const answers = [long, CHUNKED, long.replace('200 OK', '404 None'), `${HEAD}\r\n${FIRST}`];
    await expectLost(
      answers.map((answer) => ({
        name: answer.slice(0, 40),
        parts: [answer.replace(seal, '')],
        ending: 'half-closed',
      })),
    );
  });

  it('is lost with two lengths, or with a length and chunks', async () => {
    const answers = [
      `${HEAD}Content-Length: 300000\r\nContent-Length: 302000\r\n\r\n${FIRST}${SECOND}`,
      `${HEAD}Content-Length: 302000\r\nContent-Length: 300000\r\n\r\n${FIRST}${SECOND}`,
      CHUNKED.replace('Transfer', 'Content-Length: 300000\r\nTransfer'),
    ];
    await expectLost(
      answers.flatMap((answer) => cutAt('ambiguous', answer, [answer.length], ['half-closed'])),
    );
  });
});
