/** Properties of answers and callers: whatever bytes a server or a caller sends, a success is the server's whole answer, and others are served. */
import fc from 'fast-check';
import type { Dispatcher } from 'undici';
import { PollBarrier } from '../../src/event-loop/poll-barrier.js';
import type { CallerFrontendOptions } from '../../src/router-runtime/caller-frontend-options.js';
import type { Address } from '../../src/router/model/address.js';
import { ServerConnections } from '../../src/router-runtime/server-connections.js';
import { wholeAnswerIn } from '../support/answer-oracle.js';
import {
  AnswerPlayer,
  CUT_ENDINGS,
  type Ending,
  ID,
  type PlayedAnswer,
  type PlayedOutcome,
} from '../support/cut-answers.js';
import type { FuzzProperty } from './fuzz-property.js';

const OWN = `Fennelferry-Attempt-Id: ${ID}\r\nFennelferry-Server-Seal: s.1\r\n`;
const BAD_GATEWAY = 502;
const MAX_ANSWERS = 8;
/** Some bodies are long enough to be streamed. */
const LONG_BODY = 270_000;
/** Longer than all of an answer but a long body. */
const MUTATED_BYTES = 400;

type Options = Partial<CallerFrontendOptions>;

/** A place in a text, in thousandths of its length. */
const place = fc.integer({ min: 0, max: 999 });

const body = fc.oneof(
  { weight: 9, arbitrary: fc.string({ maxLength: 40 }) },
  { weight: 3, arbitrary: fc.constant('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n') },
  { weight: 1, arbitrary: fc.constant('x'.repeat(LONG_BODY)) },
);
const status = fc.oneof(
  { weight: 5, arbitrary: fc.constant('200 OK') },
  {
    weight: 3,
    arbitrary: fc.constantFrom(
      '201',
      '204 None',
      '301 Moved',
      '304 Same',
      '404 None',
      '500 Error',
      '503 Down',
    ),
  },
  { weight: 1, arbitrary: fc.integer({ min: 0, max: 1_100 }).map(String) },
);
const coding = fc.oneof(
  { weight: 4, arbitrary: fc.constant('chunked') },
  {
    weight: 1,
    arbitrary: fc.constantFrom('CHUNKED', 'gzip', 'identity', 'gzip, chunked', 'chunked, gzip', ''),
  },
);
const interim = fc.constantFrom(
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 102 Processing\r\nX: 1\r\n\r\n',
  'HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n',
  'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
  '\r\n',
);
const otherHeader = fc.oneof(
  fc.constantFrom(
    'Connection: close',
    'Connection: keep-alive',
    'Keep-Alive: timeout=1',
    'Trailer: X',
    'Upgrade: x',
  ),
  fc.constantFrom(
    'Fennelferry-Not-Executed: 1',
    'Retry-After: 1',
    'X-Folded: a\r\n b',
    'Content-Length: 3',
    'X',
  ),
  fc.string({ unit: 'binary-ascii', maxLength: 12 }).map((value) => `X-Any: ${value}`),
);

function chunksOf(text: string, size: number): string {
  const chunks: string[] = [];
  for (let start = 0; start < text.length; start += size) {
    const chunk = text.slice(start, start + size);
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  return `${chunks.join('')}0\r\n`;
}

const framed = fc.oneof(
  { weight: 3, arbitrary: body.map((text) => `Content-Length: ${text.length}\r\n\r\n${text}`) },
  { weight: 2, arbitrary: body.map((text) => `\r\n${text}`) },
  {
    weight: 3,
    arbitrary: fc
      .tuple(coding, body, fc.integer({ min: 1, max: 300_000 }), fc.constantFrom('', 'X-Trailer: 1\r\n'))
      .map(([name, text, size, trailer]) => {
        const chunks = chunksOf(text, Math.max(size, text.length / 8));
        return `Transfer-Encoding: ${name}\r\n\r\n${chunks}${trailer}\r\n`;
      }),
  },
);

/** Sound and odd answers: interim ones, a head, a body, and surplus bytes. */
const anyAnswer = fc
  .tuple(
    fc.array(interim, { maxLength: 2 }),
    fc.constantFrom('HTTP/1.1', 'HTTP/1.1', 'HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0'),
    status,
    fc.array(otherHeader, { maxLength: 2 }),
    framed,
    fc.constantFrom('', '', '', 'surplus', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
  )
  .map(([interims, version, line, others, rest, surplus]) => {
    const headers = others.map((header) => `${header}\r\n`).join('');
    return `${interims.join('')}${version} ${line}\r\n${OWN}${headers}${rest}${surplus}`;
  });

interface Mutation {
  /** Where, in thousandths of the bytes that are not a long body. */
  readonly at: number;
  readonly removed: number;
  readonly added: string;
}

const mutation: fc.Arbitrary<Mutation> = fc.record({
  at: place,
  removed: fc.integer({ min: 0, max: 3 }),
  added: fc.oneof(fc.constantFrom('', '\r\n', '\n', '\r', '\0', ' ', ':', '0'), fc.string({ maxLength: 3 })),
});

function toIndex(thousandths: number, length: number): number {
  return Math.floor((thousandths * length) / 1_000);
}

function mutate(bytes: string, { at, removed, added }: Mutation): string {
  const start = toIndex(at, Math.min(bytes.length, MUTATED_BYTES));
  return bytes.slice(0, start) + added + bytes.slice(start + removed);
}

const playedAnswer: fc.Arbitrary<PlayedAnswer> = fc
  .record({
    bytes: anyAnswer,
    mutations: fc.oneof(
      fc.constant<Mutation[]>([]),
      fc.constant<Mutation[]>([]),
      fc.array(mutation, { minLength: 1, maxLength: 2 }),
    ),
    /** Where the answer breaks off; null: it does not. */
    cut: fc.option(place, { freq: 1 }),
    split: place,
    ending: fc.constantFrom<Ending>(...CUT_ENDINGS),
  })
  .map(({ bytes, mutations, cut, split, ending }) => {
    const mutated = mutations.reduce(mutate, bytes);
    const sent = cut === null ? mutated : mutated.slice(0, toIndex(cut, mutated.length));
    const first = toIndex(split, sent.length);
    return {
      name: JSON.stringify(sent.slice(0, 600)),
      parts: [sent.slice(0, first), sent.slice(first)],
      ending,
    };
  });

/** Whether the caller got the server's whole answer, or one that promises nothing, or none on a connection that was closed. */
function isTrue({ id, played, result, answer }: PlayedOutcome): boolean {
  if (answer === null) {
    return result !== undefined;
  }
  if (answer.status === BAD_GATEWAY && !answer.head.includes('Server-Seal')) {
    return true;
  }
  const whole = wholeAnswerIn(played.parts.join('').replaceAll(ID, id), played.ending, id);
  return whole?.status === answer.status && whole.body === answer.body;
}

function answersAreTrue(options: () => Options): ReturnType<FuzzProperty['build']> {
  return fc.asyncProperty(
    fc.array(playedAnswer, { minLength: 1, maxLength: MAX_ANSWERS }),
    async (answers) => {
      const player = await AnswerPlayer.start(answers, false, options());
      try {
        const outcomes = await player.playAll();
        return outcomes.every(isTrue);
      } finally {
        await player.close();
      }
    },
  ) as ReturnType<FuzzProperty['build']>;
}

/** Connections that report an answer as complete when it breaks off behind its head, as the planted fault. */
class TrustingConnections extends ServerConnections {
  override acquire(
    address: Address,
    attemptId: string | null = null,
  ): ReturnType<ServerConnections['acquire']> {
    return super.acquire(address, attemptId).map((connection) => {
      const dispatch = connection.dispatch.bind(connection);
      connection.dispatch = (options, handler) => dispatch(options, trusting(handler));
      return connection;
    });
  }
}

function trusting(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  let hasHead = false;
  return {
    onConnect: (abort) => handler.onConnect?.(abort),
    onHeaders: (code, ...rest) => {
      hasHead ||= code >= 200;
      return handler.onHeaders?.(code, ...rest) ?? true;
    },
    onData: (chunk) => handler.onData?.(chunk) ?? true,
    onComplete: (trailers) => handler.onComplete?.(trailers),
    onError: (error) => (hasHead ? handler.onComplete?.([]) : handler.onError?.(error)),
  };
}

export const ANSWER_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: "a success is the server's whole answer",
    build: () => answersAreTrue(() => ({})),
    buildWithPlantedFault: () =>
      answersAreTrue(() => ({ connections: new TrustingConnections(new PollBarrier()) })),
    shortRuns: 25,
  },
];
