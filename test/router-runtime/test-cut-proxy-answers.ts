/** Guards the link between two daemons: an answer of a proxy that breaks off must not pass for a whole one. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { outcomeHeader, type ProxyOutcome } from '../../src/router-runtime/proxy-headers.js';
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
const LONG_BODY = 'x'.repeat(300_000);
const OWN = `Fennelferry-Attempt-Id: ${ID}\r\nFennelferry-Server-Seal: s.1\r\n`;
const ANSWERED = headerOf({ kind: 'answered', hasLength: true });
const ANSWERED_WITHOUT_LENGTH = headerOf({ kind: 'answered', hasLength: false });
const REFUSED = headerOf({
  kind: 'refused',
  reason: 'full',
  retryAfter: 70,
  attempts: 2,
  isPathLost: false,
  proofs: ['rejected by id'],
});
const FAILED = headerOf({ kind: 'failed', reason: 'reset' });
const LONG_CHUNKED = `HTTP/1.1 200 OK\r\n${ANSWERED}${OWN}Transfer-Encoding: chunked\r\n\r\n493e0\r\n${LONG_BODY}\r\n0\r\n\r\n`;

function headerOf(outcome: ProxyOutcome): string {
  return `${outcomeHeader(outcome).join(': ')}\r\n`;
}

function chunked(body: string): string {
  return `Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
}

/** Answers of servers that a proxy passes on. */
const PASSED_ON: Readonly<Record<string, string>> = {
  'a length': `HTTP/1.1 200 OK\r\n${ANSWERED}${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  'a length and a close': `HTTP/1.1 200 OK\r\nConnection: close\r\n${ANSWERED}${OWN}Content-Length: 30\r\n\r\n${BODY}`,
  chunks: `HTTP/1.1 200 OK\r\n${ANSWERED_WITHOUT_LENGTH}${OWN}${chunked(BODY)}`,
  'chunks and a close': `HTTP/1.1 200 OK\r\nConnection: close\r\n${ANSWERED_WITHOUT_LENGTH}${OWN}${chunked(BODY)}`,
};
/** What a proxy decides itself. */
const OWN_ANSWERS: Readonly<Record<string, string>> = {
  refusal: `HTTP/1.1 503 Unavailable\r\n${REFUSED}Content-Length: 30\r\n\r\n${BODY}`,
  failure: `HTTP/1.1 502 Bad Gateway\r\n${FAILED}Content-Length: 30\r\n\r\n${BODY}`,
};

let player: AnswerPlayer | undefined;

afterEach(async () => {
  await player?.close();
});

async function playAll(answers: readonly PlayedAnswer[]): Promise<PlayedOutcome[]> {
  player = await AnswerPlayer.start(answers, true);
  return player.playAll();
}

describe('an answer of a proxy', () => {
  for (const [name, answer] of Object.entries(PASSED_ON)) {
    it(`is passed on when it is whole, with ${name}`, async () => {
      const [outcome] = await playAll([{ name, parts: [answer], ending: 'half-closed' }]);
      expect([outcome?.answer?.status, outcome?.answer?.body]).toEqual([200, BODY]);
    });

    // Guards against a part of an answer that the caller of the other daemon gets as a whole one.
    it(`is lost wherever it breaks off, with ${name}`, async () => {
      expect(unexpected(await playAll(cutAt(name, answer, range(0, answer.length))), isLost)).toEqual([]);
    });
  }

  for (const [name, answer] of Object.entries(OWN_ANSWERS)) {
    // Guards against a request that may have run and is believed to be refused, after a part of a head.
    it(`is lost wherever its head breaks off: ${name}`, async () => {
      const plays = cutAt(name, answer, range(0, headLength(answer)));
      expect(unexpected(await playAll(plays), isLost)).toEqual([]);
    });
  }

  it('of more than 256 KiB does not look complete when it breaks off', async () => {
    const cuts = range(LONG_CHUNKED.lastIndexOf('x'), LONG_CHUNKED.length);
    const isBrokenOff = ({ result, answer }: PlayedOutcome): boolean =>
      result?.kind === 'lost' && (answer === null || answer.status === 502);
    const plays = CUT_ENDINGS.flatMap((ending) => cutAt('chunks', LONG_CHUNKED, cuts, [ending]));
    expect(unexpected(await playAll(plays), isBrokenOff)).toEqual([]);
  });

  // Guards against a part of an answer without a length, which only a process that is no daemon would send.
  it('is lost when its end is not marked', async () => {
    const answer = `HTTP/1.1 200 OK\r\n${ANSWERED}${OWN}\r\n${BODY}`;
    const plays = cutAt('unmarked', answer, [headLength(answer), answer.length - 5, answer.length]);
    expect(unexpected(await playAll(plays), isLost)).toEqual([]);
  });
});
