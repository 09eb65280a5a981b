/** Properties of callers: whatever bytes one sends, at whatever pace, its connection ends, and callers on other connections are served. */
import fc from 'fast-check';
import type { CallerFrontendOptions } from '../../src/router-runtime/caller-frontend-options.js';
import { FrontendFixture, get, pause, post, type TestCaller, until } from '../support/frontend-fixture.js';
import { RawServer } from '../support/raw-server.js';
import type { FuzzProperty } from './fuzz-property.js';

const TIMEOUT = 4_000;
const MAX_CALLERS = 6;
const MAX_SEGMENTS = 4;
const SOUND_HOST = 'h.example';
/** Mutations are placed within the beginning of a caller's bytes, in thousandths of it. */
const THOUSAND = 1_000;

type Options = Partial<CallerFrontendOptions>;

const request = fc.oneof(
  { weight: 3, arbitrary: fc.constant(get('c-1')) },
  { weight: 2, arbitrary: fc.constant(post('c-2', 'a body')) },
  {
    weight: 1,
    arbitrary: fc.constantFrom(
      `HEAD /c-3 HTTP/1.1\r\nHost: ${SOUND_HOST}\r\nFennelferry-Attempt-Id: c-3\r\n\r\n`,
      `POST /c-4 HTTP/1.1\r\nHost: ${SOUND_HOST}\r\nFennelferry-Attempt-Id: c-4\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`,
      `POST /c-5 HTTP/1.1\r\nHost: ${SOUND_HOST}\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc`,
      `GET /c-6 HTTP/1.0\r\nFennelferry-Attempt-Id: c-6\r\n\r\n`,
      `CONNECT h:1 HTTP/1.1\r\nHost: ${SOUND_HOST}\r\n\r\n`,
      `GET /c-7 HTTP/1.1\r\nHost: ${SOUND_HOST}\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n`,
      `GET /c-8 HTTP/1.1\r\nHost: ${SOUND_HOST}\r\nFennelferry-Shard-Key: -1\r\n\r\n`,
      `GET http://x/%zz?\u00ff HTTP/1.1\r\nHost: ${'x'.repeat(300)}\r\nFennelferry-Deadline-Ms: 1e400\r\n\r\n`,
      `PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n`,
    ),
  },
  { weight: 1, arbitrary: fc.string({ unit: 'binary-ascii', maxLength: 60 }) },
);

interface Mutation {
  readonly at: number;
  readonly removed: number;
  readonly added: string;
}

const mutation: fc.Arbitrary<Mutation> = fc.record({
  at: fc.integer({ min: 0, max: THOUSAND - 1 }),
  removed: fc.integer({ min: 0, max: 3 }),
  added: fc.oneof(fc.constantFrom('', '\r\n', '\n', '\0', ' ', ':', '9'), fc.string({ maxLength: 3 })),
});

function mutate(bytes: string, { at, removed, added }: Mutation): string {
  const start = Math.floor((at * bytes.length) / THOUSAND);
  return bytes.slice(0, start) + added + bytes.slice(start + removed);
}

/** What one caller sends, in segments with a pause in between, and how it leaves. */
interface OddCaller {
  readonly segments: readonly string[];
  readonly pauses: readonly number[];
  readonly leaves: 'half-closed' | 'reset' | 'closed';
  readonly reads: boolean;
}

const oddCaller: fc.Arbitrary<OddCaller> = fc
  .record({
    requests: fc.array(request, { minLength: 1, maxLength: 4 }),
    mutations: fc.oneof(fc.constant<Mutation[]>([]), fc.array(mutation, { minLength: 1, maxLength: 2 })),
    cuts: fc.array(fc.integer({ min: 0, max: THOUSAND - 1 }), { maxLength: MAX_SEGMENTS - 1 }),
    pauses: fc.array(fc.constantFrom(0, 0, 1, 5), { minLength: MAX_SEGMENTS, maxLength: MAX_SEGMENTS }),
    leaves: fc.constantFrom<OddCaller['leaves']>('half-closed', 'reset', 'closed'),
    reads: fc.boolean(),
  })
  .map(({ requests, mutations, cuts, pauses, leaves, reads }) => {
    const bytes = mutations.reduce(mutate, requests.join(''));
    const places = cuts.map((cut) => Math.floor((cut * bytes.length) / THOUSAND)).sort((a, b) => a - b);
    const segments = [0, ...places].map((start, index) => bytes.slice(start, places[index] ?? bytes.length));
    return { segments, pauses, leaves, reads };
  });

/** A server that echoes the id of each request. */
function startServer(): Promise<RawServer> {
  return RawServer.start((socket, head) => {
    for (const [, id] of head.matchAll(/fennelferry-attempt-id: (\S+)\r\n/gi)) {
      const own = `Fennelferry-Attempt-Id: ${id}\r\nFennelferry-Server-Seal: s.1\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${own}Content-Length: 2\r\n\r\nok`);
    }
  });
}

function leave(caller: TestCaller, leaves: OddCaller['leaves']): void {
  switch (leaves) {
    case 'half-closed':
      caller.read();
      caller.socket.end();
      break;
    case 'reset':
      caller.socket.resetAndDestroy();
      break;
    case 'closed':
      caller.socket.destroy();
      break;
  }
}

/** Sends what a caller sends. Returns whether its connection ended, and each success was for a request of its own. */
async function isOddCallerTreated(fixture: FrontendFixture, odd: OddCaller): Promise<boolean> {
  const caller = fixture.connect(odd.reads);
  for (const [index, segment] of odd.segments.entries()) {
    caller.socket.write(segment, 'latin1');
    await pause(odd.pauses[index] ?? 0);
  }
  leave(caller, odd.leaves);
  const isEnded = await until(() => caller.isClosed, TIMEOUT);
  const sent = odd.segments.join('');
  return isEnded && caller.answered.every((id) => sent.includes(id));
}

async function isServed(fixture: FrontendFixture, id: string): Promise<boolean> {
  const caller = fixture.connect();
  caller.socket.write(get(id).replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
  const isAnswered = await until(() => caller.isClosed, TIMEOUT);
  const { statuses, answered } = caller;
  caller.socket.destroy();
  return isAnswered && statuses.join() === '200' && answered.join() === id;
}

async function isEachTreated(odd: readonly OddCaller[], options: Options): Promise<boolean> {
  const server = await startServer();
  const fixture = await FrontendFixture.start(server.address, options);
  fixture.onAttemptEnded = ({ requestId, result }) => {
    if (result.kind !== 'answered') {
      fixture.fail({ requestId });
    }
  };
  try {
    const treated = odd.map((caller) => isOddCallerTreated(fixture, caller));
    const beside = isServed(fixture, 'sound-1');
    const all = await Promise.all([...treated, beside]);
    const isServedAfter = await isServed(fixture, 'sound-2');
    return all.every(Boolean) && isServedAfter && fixture.frontend.inFlight === 0;
  } finally {
    fixture.close();
    await server.close();
  }
}

function callersAreServed(options: () => Options): ReturnType<FuzzProperty['build']> {
  const callers = fc.array(oddCaller, { minLength: 1, maxLength: MAX_CALLERS });
  return fc.asyncProperty(callers, (odd) => isEachTreated(odd, options())) as ReturnType<
    FuzzProperty['build']
  >;
}

/** Writes no more requests once one has come for another host, as the planted fault. */
function poisonedByHost(): Options {
  let isPoisoned = false;
  return {
    longestReadDelay: (host) => {
      isPoisoned ||= host !== SOUND_HOST;
      return null;
    },
    isWriteAllowed: () => !isPoisoned,
  };
}

export const CALLER_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: 'no caller harms another',
    build: () => callersAreServed(() => ({})),
    buildWithPlantedFault: () => callersAreServed(poisonedByHost),
    shortRuns: 15,
  },
];
