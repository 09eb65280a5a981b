/** Guards against answers of the store and of servers to control calls that break off and pass for whole ones. */
import { expect } from 'earl';
import { ok } from 'neverthrow';
import { afterEach, describe, it } from 'node:test';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import { ServerControlClient } from '../../platform/server-control-client.js';
import type { Address } from '../../src/router/model/address.js';
import type { ControlEffect } from '../../src/router/effects.js';
import type { ControlOutcome } from '../../src/router/events.js';
import type { ControlListener, FeedSource } from '../../src/router/ports.js';
import { CUT_ENDINGS, cutAt, headLength, play, type PlayedAnswer, range } from '../support/cut-answers.js';
import { RawServer } from '../support/raw-server.js';
import { toAddress } from '../support/addresses.js';

/** Below the connections that the clients open to one address. */
const CALLS_AT_ONCE = 10;
const MAX_LISTED = 5;
const TIMEOUT = 1_000;
const IGNORING_LISTENER: ControlListener = { onNotice: () => undefined, onLimitRead: () => undefined };

const OBJECT = { metadata: { name: 'main', revision: 5 }, spec: { term: 3 } };
const FIRST_PAGE = { items: [{ ...OBJECT, metadata: { name: 'a', revision: 4 } }], more: true, at: 7 };
const LAST_PAGE = { items: [OBJECT], at: 7 };
const EVENTS = { events: [{ object: OBJECT, gone: false }], at: 8 };

/** The framings of a body: each must show that a part of it is not all. */
const FRAMINGS: Readonly<Record<string, (status: string, body: string) => string>> = {
  'a length': (status, body) => `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  'a length and a close': (status, body) =>
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  chunks: (status, body) =>
    `HTTP/1.1 ${status}\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  'chunks and a close': (status, body) =>
    `HTTP/1.1 ${status}\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  'no length': (status, body) => `HTTP/1.1 ${status}\r\n\r\n${body}`,
  '100 Continue and a length': (status, body) =>
    `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
};

let server: RawServer | undefined;
let store: ObjectStoreClient | undefined;
let control: ServerControlClient | undefined;

afterEach(async () => {
  store?.close();
  control?.close();
  await server?.close();
});

/** Starts a server that plays the answers one after the other, whatever it is asked. */
async function startServer(answers: readonly PlayedAnswer[]): Promise<Address> {
  const waiting = [...answers];
  server = await RawServer.start((socket, head) => {
    const next = /^(?:GET|PUT|POST) /.test(head) ? waiting.shift() : undefined;
    if (next !== undefined) {
      void play(socket, next, '');
    }
  });
  return toAddress(server.address);
}

/** Makes a call for each answer, several at a time, and returns the kinds of outcomes other than the expected one. */
async function callAll(
  answers: readonly PlayedAnswer[],
  call: () => Promise<string>,
  expected: string,
): Promise<string[]> {
  const odd: string[] = [];
  let left = answers.length;
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const kind = await call();
      if (kind !== expected) {
        odd.push(kind);
      }
    }
  };
  await Promise.all(Array.from({ length: CALLS_AT_ONCE }, work));
  return odd.slice(0, MAX_LISTED);
}

function feedOf(client: ObjectStoreClient): FeedSource<string> {
  return client.feed(
    'items',
    ({ metadata }) => ok(metadata.name),
    () => undefined,
  );
}

function listKind(client: ObjectStoreClient): Promise<string> {
  return new Promise((done) => feedOf(client).list(({ kind }) => done(kind)));
}

function watchKind(client: ObjectStoreClient): Promise<string> {
  const timing = { wait: 1, dueTime: null, timeout: TIMEOUT };
  return new Promise((done) =>
    feedOf(client).watch(
      4,
      timing,
      ({ kind }) => done(kind),
      () => undefined,
    ),
  );
}

interface StoreCall {
  readonly call: (client: ObjectStoreClient) => Promise<string>;
  readonly status: string;
  readonly body: unknown;
  readonly whole: string;
  readonly cut: string;
}

const WRITE = (client: ObjectStoreClient): Promise<string> =>
  client.write('leader', { term: 4 }, 5).then(({ kind }) => kind);
const READ = (client: ObjectStoreClient): Promise<string> => client.read('leader').then(({ kind }) => kind);

const STORE_CALLS: Readonly<Record<string, StoreCall>> = {
  list: { call: listKind, status: '200 OK', body: LAST_PAGE, whole: 'listed', cut: 'failed' },
  watch: { call: watchKind, status: '200 OK', body: EVENTS, whole: 'changes', cut: 'failed' },
  read: { call: READ, status: '200 OK', body: OBJECT, whole: 'found', cut: 'failed' },
  write: { call: WRITE, status: '200 OK', body: OBJECT, whole: 'written', cut: 'unknown' },
  'write that meets a conflict': {
    call: WRITE,
    status: '409 Conflict',
    body: OBJECT,
    whole: 'conflict',
    cut: 'unknown',
  },
};

describe("the store's answer", () => {
  for (const [name, { call, status, body, whole, cut }] of Object.entries(STORE_CALLS)) {
    for (const [framing, frame] of Object.entries(FRAMINGS)) {
      const answer = frame(status, JSON.stringify(body));
      const bodyStart = answer.lastIndexOf('\r\n\r\n{') + 4;

      it(`to a ${name} is taken when it is whole, with ${framing}`, async () => {
        const answers: PlayedAnswer[] = [{ name, parts: [answer], ending: 'half-closed' }];
        store = new ObjectStoreClient(await startServer(answers));
        expect(await call(store)).toEqual(whole);
      });

      // Guards against a list that lacks servers, or a record that counts as written, after a part of an answer.
      it(`to a ${name} is no answer when it breaks off, with ${framing}`, async () => {
        const end = bodyStart > 3 ? answer.length : headLength(answer);
        const bodyless = framing === 'no length' ? [bodyStart] : [];
        const cuts = range(1, end).filter((length) => !bodyless.includes(length));
        // Each ending at every fourth byte.
        const answers = cuts.flatMap((length, index) =>
          cutAt(name, answer, [length], [CUT_ENDINGS[index % CUT_ENDINGS.length] ?? 'closed']),
        );
        const client = new ObjectStoreClient(await startServer(answers));
        store = client;
        expect(await callAll(answers, () => call(client), cut)).toEqual([]);
      });
    }
  }

  it('to a list is no answer when its second page breaks off', async () => {
    const frame = FRAMINGS['a length'] as (status: string, body: string) => string;
    const first: PlayedAnswer = {
      name: 'first page',
      parts: [frame('200 OK', JSON.stringify(FIRST_PAGE))],
      ending: 'stays open',
    };
    const second = frame('200 OK', JSON.stringify(LAST_PAGE));
    const cuts = cutAt('second page', second, range(1, second.length), ['closed', 'reset']);
    const client = new ObjectStoreClient(await startServer(cuts.flatMap((cut) => [first, cut])));
    store = client;
    const kinds: string[] = [];
    while (kinds.length < cuts.length) {
      kinds.push(await listKind(client));
    }
    expect([...new Set(kinds)]).toEqual(['failed']);
  });
});

function effect(action: ControlEffect['action'], address: Address): ControlEffect {
  const keys = { from: 0, to: 9, fence: 3, hold: 2_500, handover: null };
  const target = { server: 'i-1', address, healthPath: '/health', timeout: TIMEOUT };
  return { kind: 'control', callId: 1, action, ...target, ...keys };
}

/** Answers to control calls, with what they mean when they are whole. */
const CONTROL_ANSWERS: Readonly<Record<string, readonly [string, ControlOutcome['kind']]>> = {
  '200': ['200 OK\r\nFennelferry-Instance-Id: i-1', 'accepted'],
  '409': ['409 Conflict', 'higherFence'],
  '421': ['421 Misdirected Request\r\nFennelferry-Instance-Id: i-2', 'otherInstance'],
  '503': ['503 Draining\r\nFennelferry-Not-Executed: 1', 'rejected'],
};

describe("a server's answer", () => {
  for (const [status, [lines, meaning]] of Object.entries(CONTROL_ANSWERS)) {
    for (const [framing, frame] of Object.entries(FRAMINGS)) {
      const answer = frame(lines, '{"ok":true}');

      it(`${status} to a grant counts when it is whole, with ${framing}`, async () => {
        const address = await startServer([{ name: status, parts: [answer], ending: 'half-closed' }]);
        control = new ServerControlClient();
        expect((await control.call(effect('grant', address), IGNORING_LISTENER)).kind).toEqual(meaning);
      });

      // Guards against keys that are granted, or believed to be somebody else's, after a part of a head.
      for (const action of ['grant', 'release', 'probe'] as const) {
        it(`${status} to a ${action} is none when its head breaks off, with ${framing}`, async () => {
          const cuts = range(1, answer.indexOf('{') - (framing.startsWith('chunks') ? 3 : 0));
          const answers = cuts.flatMap((length, index) =>
            cutAt(status, answer, [length], [CUT_ENDINGS[index % CUT_ENDINGS.length] ?? 'closed']),
          );
          const address = await startServer(answers);
          const client = new ServerControlClient();
          control = client;
          const call = (): Promise<string> =>
            client.call(effect(action, address), IGNORING_LISTENER).then(({ kind }) => kind);
          expect(await callAll(answers, call, 'unanswered')).toEqual([]);
        });
      }
    }
  }

  // Guards against the status of an answer that broke off, together with the headers of the next one.
  it('to a grant is none when its head contains another one', async () => {
    const conflict = 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n';
    const answers = ['HTTP/1.1 200 ', 'HTTP/1.1 200 OK\r\nFennelferry-Handover: '].map(
      (start): PlayedAnswer => ({ name: start, parts: [start + conflict], ending: 'stays open' }),
    );
    const address = await startServer(answers);
    const client = new ServerControlClient();
    control = client;
    const call = (): Promise<string> =>
      client.call(effect('grant', address), IGNORING_LISTENER).then(({ kind }) => kind);
    expect([await call(), await call()]).toEqual(['unanswered', 'unanswered']);
  });
});
