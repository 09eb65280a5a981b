/** Guards against the beginning of a surplus answer that passes for the head of the next answer on its connection. */
import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';
import { range } from '../support/cut-answers.js';
import { FrontendFixture, get, pause, type TestCaller, until } from '../support/frontend-fixture.js';
import { RawServer } from '../support/raw-server.js';

const TIMEOUT = 5_000;
const PAIRS_AT_ONCE = 8;
const BETWEEN_REQUESTS = 5;
const BODY = 'own';
/** As long as `BODY`, so that a mixed-up answer would look whole. */
const SURPLUS_BODY = 'alt';

let server: RawServer | undefined;
let fixture: FrontendFixture | undefined;

afterEach(async () => {
  fixture?.close();
  await server?.close();
});

function answerOf(id: string, body = BODY): string {
  const own = `Fennelferry-Attempt-Id: ${id}\r\nFennelferry-Server-Seal: s.1\r\n`;
  return `HTTP/1.1 200 OK\r\n${own}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** How the bytes of a surplus answer are spread over the answers of a connection. */
interface Spread {
  /** Sent together with the end of the first answer. */
  readonly glued: string;
  /** Sent when the second request has been read, before its answer. */
  readonly before: string;
  /** Whether the second request's answer follows. */
  readonly isAnswered: boolean;
}

/** Sends two requests one after the other to a server that spreads bytes so, and returns what the second caller got. */
async function requestPair(pair: number): Promise<TestCaller> {
  const started = fixture as FrontendFixture;
  const caller = started.connect();
  caller.socket.write(get(`first-${pair}`));
  await until(() => caller.text.endsWith(BODY), TIMEOUT);
  await pause(BETWEEN_REQUESTS);
  const next = started.connect();
  next.socket.write(get(`second-${pair}`).replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
  await until(() => next.isClosed, TIMEOUT);
  caller.socket.destroy();
  return next;
}

/** Plays the spreads. Returns the answers to second requests that are neither their own nor a failure. */
async function playAll(spreads: readonly Spread[]): Promise<string[]> {
  server = await RawServer.start((socket, head) => {
    const [, order = '', number = ''] = /^GET \/(\w+)-(\d+) /.exec(head) ?? [];
    const { glued = '', before = '', isAnswered = true } = spreads[Number(number)] ?? {};
    if (order === 'first') {
      socket.write(answerOf(`first-${number}`) + glued);
    } else if (isAnswered) {
      socket.write(before + answerOf(`second-${number}`));
    } else {
      socket.write(before, () => socket.destroy());
    }
  });
  const started = await FrontendFixture.start(server.address);
  fixture = started;
  started.onAttemptEnded = ({ requestId, result }) => {
    if (result.kind !== 'answered') {
      started.fail({ requestId });
    }
  };
  const odd: string[] = [];
  const waiting = [...spreads.keys()];
  const work = async (): Promise<void> => {
    for (let pair = waiting.shift(); pair !== undefined; pair = waiting.shift()) {
      const { text, statuses } = await requestPair(pair);
      const isOwn = statuses.join() === '200' && text.endsWith(`\r\n\r\n${BODY}`);
      if (!(isOwn || statuses.join() === '502')) {
        odd.push(`${JSON.stringify(spreads[pair])}: ${text}`);
      }
    }
  };
  await Promise.all(Array.from({ length: PAIRS_AT_ONCE }, work));
  return odd;
}

const SURPLUS: Readonly<Record<string, string>> = {
  'names another request': answerOf('other-1', SURPLUS_BODY),
  'names no request': answerOf('other-1', SURPLUS_BODY).replace(/Fennelferry-Attempt-Id: \S+\r\n/, ''),
  'is a failure that names no request': 'HTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nalt',
  'is a rejection that names no request':
    'HTTP/1.1 503 Full\r\nFennelferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
  'is an interim one': 'HTTP/1.1 100 Continue\r\n\r\n',
};

describe('a surplus answer', () => {
  for (const [name, surplus] of Object.entries(SURPLUS)) {
    const cuts = range(0, surplus.length + 1);

    // Guards against a head whose first part arrived with the former answer and whose rest is read as the next one's.
    it(`that begins with the end of the former answer and goes on before the next one is nobody's: ${name}`, async () => {
      const spreads = cuts.map((cut): Spread => {
        return { glued: surplus.slice(0, cut), before: surplus.slice(cut), isAnswered: true };
      });
      expect(await playAll(spreads)).toEqual([]);
    });

    it(`that breaks off before the next answer is nobody's: ${name}`, async () => {
      const spreads = cuts.flatMap((cut): Spread[] => [
        { glued: '', before: surplus.slice(0, cut), isAnswered: true },
        { glued: '', before: surplus.slice(0, cut), isAnswered: false },
      ]);
      expect(await playAll(spreads)).toEqual([]);
    });
  }

  // Guards against the head of the next answer that is cut behind a surplus one, and passes for whole.
  it('does not make a cut answer behind it look whole', async () => {
    const surplus = answerOf('other-1', SURPLUS_BODY);
    const own = answerOf('second-0');
    const spreads = range(0, own.length - 1).map((cut): Spread => {
      return { glued: '', before: surplus + own.slice(0, cut), isAnswered: false };
    });
    expect(await playAll(spreads)).toEqual([]);
  });
});
