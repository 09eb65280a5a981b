import { expect } from 'earl';
import fc from 'fast-check';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { parseServer, storedObjectSchema } from '../../platform/documents.js';
import { ObjectStoreClient } from '../../platform/object-store-client.js';
import type { ServerDescription } from '../../src/router/model/server.js';
import type { FeedSource, ListOutcome, WatchOutcome } from '../../src/router/ports.js';
import { toAddress } from '../support/addresses.js';

const SERVER_SPEC = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  capacity: 3,
  state: 'ready',
  warmupLeftS: 0,
  sequence: 7,
};

function entry(name: string, spec: unknown = SERVER_SPEC): object {
  return { metadata: { name, revision: 4, made: 2 }, spec };
}

let store: Server;
let api: ObjectStoreClient;
let responseBody: string | Buffer;
/** Paths of the requests that the store received. */
let requestedPaths: string[];
/** Responses by path. Other paths get `responseBody`. */
let responsesByPath: Map<string, string>;
let reportedNames: string[];
let reportedProblems: string[];
let feed: FeedSource<ServerDescription>;

function list(): Promise<ListOutcome<ServerDescription>> {
  return new Promise((resolve) => feed.list(resolve));
}

function watch(): Promise<WatchOutcome<ServerDescription>> {
  return new Promise((resolve) =>
    feed.watch(5, { wait: 1_000, dueTime: null, timeout: 1_600 }, resolve, () => undefined),
  );
}

/** Lists a page and returns the names of its items. */
async function listedNames(page: string | Buffer): Promise<string[]> {
  responseBody = page;
  const outcome = await list();
  return 'items' in outcome ? outcome.items.map(({ id }) => id) : [outcome.kind];
}

/** Watches and returns the names of the changes. */
async function watchedNames(page: string | Buffer): Promise<string[]> {
  responseBody = page;
  const outcome = await watch();
  return outcome.kind === 'changes' ? outcome.changes.map(({ id }) => id) : [outcome.kind];
}

/** A sound entry as text, as an item of a list. */
function itemText(name: string): string {
  return JSON.stringify(entry(name));
}

/** A sound entry as text, as an event of a watch. */
function eventText(name: string): string {
  return JSON.stringify({ gone: false, object: entry(name) });
}

function listPage(items: readonly string[], at = 9): string {
  return `{"items":[${items.join(',')}],"more":false,"at":${at}}`;
}

function watchPage(events: readonly string[], at = 9): string {
  return `{"events":[${events.join(',')}],"at":${at}}`;
}

/** Objects of other writers that are not JSON. */
const UNREADABLE_TEXTS: readonly string[] = [
  'not json at all',
  'not "json',
  '"no end',
  '',
  ']',
  '}',
  '{"metadata":{"name":"odd","revision":5},"spec":{',
  '{"metadata":{"name":"odd","revision":5,"finalizers":["a"',
  '{"metadata":{"name":"odd","revision":5},"spec":{"zone":"z',
  '{"metadata":{"name":"odd","revision":5},"spec":{"zone":"z\\',
  '{"metadata":{"name":"odd","revision":5},"spec":{"zone":"\u0001"}}',
  '{"metadata":{"name":"odd","revision":5},"spec":[1',
  '{"metadata":{"name":"odd","revision":0x5},"spec":{}}',
  '\u0000\ufffd{[',
];

async function listNames(items: readonly unknown[]): Promise<string[]> {
  responseBody = JSON.stringify({ items, more: false, at: 9 });
  const outcome = await list();
  return outcome.kind === 'listed' ? outcome.items.map(({ id }) => id) : [outcome.kind];
}

describe('malformed objects of other writers', () => {
  beforeEach(async () => {
    reportedNames = [];
    reportedProblems = [];
    requestedPaths = [];
    responsesByPath = new Map();
    store = createServer(({ url = '' }, response) => {
      requestedPaths.push(url);
      response.end(responsesByPath.get(url) ?? responseBody);
    });
    await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
    api = new ObjectStoreClient(toAddress(`127.0.0.1:${(store.address() as AddressInfo).port}`));
    feed = api.feed('servers', parseServer, (_, name, problem) => {
      reportedNames.push(name);
      reportedProblems.push(problem);
    });
  });

  afterEach(() => {
    api.close();
    store.closeAllConnections();
    store.close();
  });

  it('do not affect other objects of a list, even without a revision or, at its end, without a name', async () => {
    const malformed = [
      { metadata: { name: 'b' }, spec: SERVER_SPEC },
      entry('c', null),
      entry('d', 'bytes'),
      {},
      7,
    ];
    expect(await listNames([entry('a'), ...malformed, entry('e'), null])).toEqual(['a', 'e']);
    expect(reportedNames).toEqual(['b', 'c', 'd', '', '', '']);
  });

  it('are reported as removed by a watch, which still applies its other changes', async () => {
    const events = [
      { gone: false, object: entry('a', { ...SERVER_SPEC, state: 'unheard of' }) },
      { gone: false, object: { metadata: { name: 'b' } } },
      { gone: false },
      'nonsense',
      { gone: false, object: entry('c') },
    ];
    responseBody = JSON.stringify({ events, at: 12 });
    const outcome = await watch();
    const changes = outcome.kind === 'changes' ? outcome.changes : [];
    expect(changes.map(({ id, item }) => [id, item?.id ?? null])).toEqual([
      ['a', null],
      ['b', null],
      ['c', 'c'],
    ]);
  });

  it('fail only the call whose response is not valid JSON', async () => {
    responseBody = '\u0000{"items":';
    expect((await list()).kind).toEqual('failed');
    expect(await listNames([entry('a')])).toEqual(['a']);
  });

  it('never affect well-formed objects, whatever they contain', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(fc.jsonValue()), async (malformed) => {
        const names = await listNames([entry('a'), ...malformed, entry('e')]);
        expect(names).toEqual(['a', 'e']);
      }),
      { seed: 42, numRuns: 50 },
    );
  });

  // One entry whose bytes are not JSON kept a daemon from following the store at all.
  it('do not affect the other objects of a list or a watch when their bytes are not JSON', async () => {
    for (const text of UNREADABLE_TEXTS) {
      const items = [itemText('a'), text, itemText('b'), text, text, itemText('c'), text];
      expect(await listedNames(listPage(items))).toEqual(['a', 'b', 'c']);
      const object = (item: string): string => `{"gone":false,"object":${item}}`;
      const truncated = (item: string): string => `{"gone":false,"object":${item}`;
      for (const event of [text, object(text), truncated(text)]) {
        const events = [eventText('a'), event, eventText('b'), event, event, eventText('c'), event];
        const names = await watchedNames(watchPage(events));
        expect(names.filter((name) => name !== 'odd')).toEqual(['a', 'b', 'c']);
      }
    }
  });

  // Invalid UTF-8 in one entry must not make the others unreadable.
  it('do not affect the other objects of a list when their bytes are not UTF-8', async () => {
    const invalid = Buffer.from([0xff, 0xc3, 0x28, 0xe2, 0x82]);
    const [before = '', behind = ''] = listPage([itemText('a'), '@', itemText('b')]).split('@');
    for (const bytes of [invalid, Buffer.concat([Buffer.from('"'), invalid, Buffer.from('"')])]) {
      const page = Buffer.concat([Buffer.from(before), bytes, Buffer.from(behind)]);
      expect(await listedNames(page)).toEqual(['a', 'b']);
    }
  });

  // A removal that a daemon heard of and one that it only missed in a list must not differ.
  it('are reported as removed under a name that is still readable in a truncated object', async () => {
    const truncated = '{"gone":false,"object":{"metadata":{"name":"odd","revision":5},"spec":{';
    responseBody = watchPage([truncated, eventText('a')]);
    const outcome = await watch();
    const changes = outcome.kind === 'changes' ? outcome.changes : [];
    expect(changes.map(({ id, item }) => [id, item?.id ?? null])).toEqual([
      ['odd', null],
      ['a', 'a'],
    ]);
    expect(reportedNames).toEqual(['odd']);
  });

  // Without the position of the page, later changes would be missed.
  it('fail a call whose page has no readable revision, and are reported', async () => {
    for (const page of [`{"items":[${itemText('a')},{`, '{"items":[],"at":1e400}', '{"items":[],"at":-1}']) {
      expect(await listedNames(page)).toEqual(['failed']);
      expect(await watchedNames(page.replace('items', 'events'))).toEqual(['failed']);
    }
    expect(reportedNames.length).toEqual(6);
  });

  // A name that has no UTF-8 encoding ended the daemon when the list was to be continued behind it.
  it('end no process when the last name of a page is a lone surrogate', async () => {
    responsesByPath.set('/api/objects/servers?after=a', listPage([itemText('c')]));
    const page = JSON.stringify({ items: [entry('a'), entry('\ud800')], more: true, at: 9 });
    expect(await listedNames(page)).toEqual(['a', 'c']);
  });

  // A path with a name of 100,000 characters is rejected, so that no list would ever end.
  it('are not sent back to the store under a name that is too long', async () => {
    responsesByPath.set('/api/objects/servers?after=a', listPage([itemText('c')]));
    const page = JSON.stringify({ items: [entry('a'), entry('b'.repeat(100_000))], more: true, at: 9 });
    expect(await listedNames(page)).toEqual(['a', 'c']);
  });

  // Servers behind an object without a name were taken as gone.
  it('do not let a list pass for complete that can not be continued behind them', async () => {
    responseBody = JSON.stringify({ items: [{}, null], more: true, at: 9 });
    expect(await list()).toEqual({ kind: 'listedPartly', items: [], revision: 9 });
    responseBody = JSON.stringify({ items: [entry('a')], more: true, at: 9 });
    expect((await list()).kind).toEqual('listedPartly');
    expect(requestedPaths.length).toEqual(3);
  });

  // A list whose pages never end would fill the memory.
  it('end a list that has always more', async () => {
    let pages = 0;
    store.removeAllListeners('request').on('request', (_, response: ServerResponse) => {
      pages += 1;
      response.end(JSON.stringify({ items: [entry(`i-${pages}`)], more: true, at: 9 }));
    });
    expect((await list()).kind).toEqual('listedPartly');
    expect(pages).toEqual(1_000);
  });

  // An event without a name left the watch at its former position, so that the same event was returned again at once, forever.
  it('are passed by a watch although they have no name', async () => {
    responseBody = watchPage(['not json', '7']);
    expect(await watch()).toEqual({ kind: 'changes', changes: [], hasUnnamed: true, revision: 9 });
    responseBody = watchPage([]);
    expect(await watch()).toEqual({ kind: 'changes', changes: [], hasUnnamed: false, revision: 9 });
  });

  // Such an entry made later ones look old, and was never replaced.
  it('are those whose revision is no revision of the store', async () => {
    const withRevision = (revision: string): string =>
      itemText('odd').replace('"revision":4', `"revision":${revision}`);
    for (const revision of ['10', '-1', '2.5', '9223372036854775807', '1e308', '1e400', '"4"', 'null']) {
      const odd = withRevision(revision);
      expect(await listedNames(listPage([itemText('a'), odd, itemText('b')]))).toEqual(['a', 'b']);
      responseBody = watchPage([`{"gone":false,"object":${odd}}`]);
      expect(await watch()).toEqual({
        kind: 'changes',
        changes: [{ id: 'odd', item: null }],
        hasUnnamed: false,
        revision: 9,
      });
    }
    expect(await listedNames(listPage([withRevision('9')]))).toEqual(['odd']);
  });

  // Parsing two million brackets takes a second, at each list and on each daemon.
  it('are those that are nested too deeply, whether the page is short or long', async () => {
    for (const depth of [100, 10_000, 2_000_000]) {
      const spec = JSON.stringify(SERVER_SPEC).replace('{', `{"a":${'['.repeat(depth)}${']'.repeat(depth)},`);
      const deep = itemText('deep').replace(JSON.stringify(SERVER_SPEC), spec);
      reportedProblems = [];
      expect(await listedNames(listPage([itemText('a'), deep, itemText('b')]))).toEqual(['a', 'b']);
      const event = `{"gone":false,"object":${deep}}`;
      const names = await watchedNames(watchPage([eventText('a'), event, eventText('b')]));
      expect(names).toEqual(['a', 'deep', 'b']);
      expect(reportedProblems.every((problem) => /^nested more than \d+ levels deep$/.test(problem))).toEqual(
        true,
      );
      expect(reportedProblems.length).toEqual(2);
    }
  });

  // An object far beyond the store's limit is not what the store should hold.
  it('are those that are too long', async () => {
    const long = JSON.stringify(entry('long', { ...SERVER_SPEC, version: 'v'.repeat(3_000_000) }));
    expect(await listedNames(listPage([itemText('a'), long, itemText('b')]))).toEqual(['a', 'b']);
  });

  // A response without an end filled the memory until the call timed out.
  it('fail the call when the response is longer than any page', async () => {
    const blank = ' '.repeat(17 * 1024 * 1024);
    expect(await listedNames(`${blank}${listPage([itemText('a')])}`)).toEqual(['failed']);
  });

  // A schema takes over ten microseconds to reject a value, so that a megabyte of them held a daemon for seconds.
  it('are rejected without a schema if they are no objects of the store at first sight', async () => {
    const { safeParse } = storedObjectSchema;
    let calls = 0;
    storedObjectSchema.safeParse = (...args) => {
      calls += 1;
      return safeParse(...args);
    };
    const odd = [...Array<string>(10_000).fill('{}'), '7', '{"metadata":1}', '{"metadata":{"name":"odd"}}'];
    expect(await listedNames(listPage([...odd, itemText('a')]))).toEqual(['a']);
    expect(await watchedNames(watchPage([...odd, eventText('a')]))).toEqual(['a']);
    storedObjectSchema.safeParse = safeParse;
    expect(calls).toEqual(2);
  });
});
