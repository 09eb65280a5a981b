/** Servers that send the bytes that a test names for each request, also a part of an answer, and what a caller of a daemon gets of them. */
import type { Socket } from 'node:net';
import type { AttemptResult } from '../../src/router/events.js';
import type { CallerFrontendOptions } from '../../src/router-runtime/caller-frontend-options.js';
import { toAddress } from './addresses.js';
import { FrontendFixture, until } from './frontend-fixture.js';
import { ORIGIN } from './proxied-frontends.js';
import { RawServer } from './raw-server.js';

/** How a server ends its connection after its last bytes; `stays open`: not at all. */
export type Ending = 'closed' | 'reset' | 'half-closed' | 'held, then closed' | 'stays open';
/** Ways to end a connection in the middle of an answer. */
export const CUT_ENDINGS: readonly Ending[] = ['closed', 'reset', 'half-closed', 'held, then closed'];

/** Stands for the attempt's id in an answer, and is as long, so that an answer can be cut within it. */
export const ID = 'p-#####';

/** What a server sends for one request. */
export interface PlayedAnswer {
  readonly name: string;
  readonly method?: string;
  /** Written one after the other, each after the kernel has taken the former one. */
  readonly parts: readonly string[];
  readonly ending: Ending;
}

/** What a client makes of the bytes on its connection; null: no whole answer. */
export interface ReadAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/** What became of one request. */
export interface PlayedOutcome {
  readonly id: string;
  readonly played: PlayedAnswer;
  readonly result: AttemptResult | undefined;
  readonly answer: ReadAnswer | null;
}

const HOLD_MILLISECONDS = 25;
const PART_INTERVAL_MILLISECONDS = 3;
const TIMEOUT_MILLISECONDS = 10_000;
/** Below the most connections of a daemon to one server. */
const PLAYED_AT_ONCE = 20;
const ID_DIGITS = 5;
const MAX_DESCRIBED = 5;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns the answers that break off at each of the given lengths, with each of the endings. */
export function cutAt(
  name: string,
  answer: string,
  lengths: readonly number[],
  endings: readonly Ending[] = CUT_ENDINGS,
): PlayedAnswer[] {
  return lengths.flatMap((length) =>
    endings.map((ending) => ({
      name: `${name} after ${length} bytes, ${ending}`,
      parts: [answer.slice(0, length)],
      ending,
    })),
  );
}

/** Returns the whole numbers from `start` up to `end`, without `end`. */
export function range(start: number, end: number): number[] {
  return Array.from({ length: Math.max(0, end - start) }, (_, index) => start + index);
}

/** Returns the number of bytes of an answer's head, with the empty line. */
export function headLength(answer: string): number {
  return answer.indexOf('\r\n\r\n') + 4;
}

/** Sends an answer on a server's connection. */
export async function play(socket: Socket, { parts, ending }: PlayedAnswer, id: string): Promise<void> {
  const bytes = parts.join('').replaceAll(ID, id);
  let sent = 0;
  for (const { length } of parts) {
    if (sent > 0) {
      await new Promise((resolve) => setTimeout(resolve, PART_INTERVAL_MILLISECONDS));
    }
    if (length > 0) {
      const part = bytes.slice(sent, sent + length);
      await new Promise<void>((resolve) => socket.write(part, 'latin1', () => resolve()));
    }
    sent += length;
  }
  end(socket, ending);
}

/** Returns a text for each of the first outcomes that are not what `isExpected` wants, for an assertion that all are. */
export function unexpected(
  outcomes: readonly PlayedOutcome[],
  isExpected: (outcome: PlayedOutcome) => boolean,
): string[] {
  return outcomes
    .filter((outcome) => !isExpected(outcome))
    .slice(0, MAX_DESCRIBED)
    .map(({ played, result, answer }) => {
      const got = answer === null ? 'no whole answer' : `${answer.status} with ${answer.body.length} bytes`;
      return `${played.name}: ${result?.kind ?? 'unfinished'}, ${got}`;
    });
}

/** Whether a caller was told that its request may have run, and nothing else. */
export function isLost({ result, answer }: PlayedOutcome): boolean {
  return result?.kind === 'lost' && answer?.status === 502;
}

function end(socket: Socket, ending: Ending): void {
  switch (ending) {
    case 'closed':
      socket.destroy();
      break;
    case 'reset':
      socket.resetAndDestroy();
      break;
    case 'half-closed':
      socket.end();
      break;
    case 'held, then closed':
      setTimeout(() => socket.destroy(), HOLD_MILLISECONDS);
      break;
    case 'stays open':
      break;
  }
}

function idOf(index: number): string {
  return `p-${String(index).padStart(ID_DIGITS, '0')}`;
}

/** Returns the body in chunks at the beginning of a text, or null if the text has no end of it. */
export function readChunks(text: string): string | null {
  let body = '';
  let rest = text;
  for (;;) {
    const line = /^([\da-f]+)(?:;[^\r\n]*)?\r\n/i.exec(rest);
    if (line === null) {
      return null;
    }
    const length = Number.parseInt(line[1] as string, 16);
    rest = rest.slice(line[0].length);
    if (length === 0) {
      return rest.startsWith('\r\n') || rest.includes('\r\n\r\n') ? body : null;
    }
    if (rest.slice(length, length + 2) !== '\r\n') {
      return null;
    }
    body += rest.slice(0, length);
    rest = rest.slice(length + 2);
  }
}

/**
 * Reads an answer as a client does.
 *
 * @param isInOrder whether the connection has ended in order
 */
export function readAnswer(text: string, method: string, isInOrder: boolean): ReadAnswer | null {
  const end = text.indexOf('\r\n\r\n');
  const line = /^HTTP\/1\.1 (\d{3})/.exec(text);
  if (end < 0 || line === null) {
    return null;
  }
  const head = text.slice(0, end + 2);
  const status = Number(line[1]);
  const rest = text.slice(end + 4);
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    return rest === '' ? { status, head, body: '' } : null;
  }
  const length = /\r\ncontent-length: (\d+)\r\n/i.exec(head)?.[1];
  if (/\r\ntransfer-encoding: chunked\r\n/i.test(head)) {
    const body = readChunks(rest);
    return body === null ? null : { status, head, body };
  }
  const isWhole = length === undefined ? isInOrder : rest.length >= Number(length);
  return isWhole
    ? { status, head, body: rest.slice(0, length === undefined ? undefined : Number(length)) }
    : null;
}

export class AnswerPlayer {
  readonly server: RawServer;
  readonly fixture: FrontendFixture;
  readonly #plays: ReadonlyMap<string, PlayedAnswer>;
  /** Results of the attempts, by attempt id. */
  readonly #results = new Map<string, AttemptResult>();

  private constructor(
    server: RawServer,
    fixture: FrontendFixture,
    plays: ReadonlyMap<string, PlayedAnswer>,
    isProxy: boolean,
  ) {
    this.server = server;
    this.fixture = fixture;
    this.#plays = plays;
    const ids = new Map<number, string>();
    fixture.onArrival = (event) => {
      ids.set(event.requestId, event.attemptId);
      if (isProxy) {
        this.#forwardToProxy(event.requestId);
      } else {
        fixture.forward(event);
      }
    };
    fixture.onAttemptEnded = ({ requestId, result }) => {
      this.#results.set(ids.get(requestId) ?? '', result);
      if (result.kind !== 'answered') {
        fixture.fail({ requestId });
      }
    };
  }

  /**
   * Starts a server that plays these answers, and a daemon's frontend that answers 502 where an attempt brings no answer.
   *
   * @param isProxy whether the server stands for another daemon
   * @param options of the frontend
   */
  static async start(
    answers: readonly PlayedAnswer[],
    isProxy = false,
    options: Partial<CallerFrontendOptions> = {},
  ): Promise<AnswerPlayer> {
    const plays = new Map(answers.map((answer, index) => [idOf(index), answer]));
    const server = await RawServer.start((socket, head) => {
      const id = /^\S+ \/(\S+) /.exec(head)?.[1] ?? '';
      const answer = plays.get(id);
      if (answer !== undefined) {
        void play(socket, answer, id);
      }
    });
    return new AnswerPlayer(server, await FrontendFixture.start(server.address, options), plays, isProxy);
  }

  /** Sends a request for each answer, several at a time, each on a connection of its own. */
  async playAll(atOnce = PLAYED_AT_ONCE): Promise<PlayedOutcome[]> {
    const waiting = [...this.#plays];
    const outcomes: PlayedOutcome[] = [];
    const work = async (): Promise<void> => {
      for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
        outcomes.push(await this.#request(...next));
      }
    };
    await Promise.all(Array.from({ length: atOnce }, work));
    return outcomes;
  }

  #forwardToProxy(requestId: number): void {
    this.fixture.frontend.attempts.forwardToProxy({
      kind: 'forwardToProxy',
      requestId,
      attempt: 1,
      address: toAddress(this.server.address),
      timeLeft: TIMEOUT_MILLISECONDS,
      origin: ORIGIN,
    });
  }

  async #request(id: string, played: PlayedAnswer): Promise<PlayedOutcome> {
    const method = played.method ?? 'GET';
    const caller = this.fixture.connect();
    const head = `${method} /${id} HTTP/1.1\r\nHost: h.example\r\nFennelferry-Attempt-Id: ${id}\r\n`;
    caller.socket.write(`${head}Connection: close\r\n\r\n`);
    await until(() => caller.isClosed, TIMEOUT_MILLISECONDS);
    caller.socket.destroy();
    const answer = readAnswer(caller.text, method, caller.ending === 'in order');
    return { id, played, result: this.#results.get(id), answer };
  }

  async close(): Promise<void> {
    this.fixture.close();
    await this.server.close();
  }
}
