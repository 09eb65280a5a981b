import { expect } from 'earl';
import fc from 'fast-check';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { readServer } from '../../platform/documents.js';
import { ObjectApi } from '../../platform/object-api.js';
import type { ServerDescription } from '../../src/router/model/server.js';
import type { FeedSource, ListOutcome, WatchOutcome } from '../../src/router/ports.js';

const SPEC = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  capacity: 3,
  state: 'ready',
  warmupLeftS: 0,
  sequence: 7,
};

function entry(name: string, spec: unknown = SPEC): object {
  return { metadata: { name, revision: 4, made: 2 }, spec };
}

let store: Server;
let api: ObjectApi;
let answer: string;
let named: string[];
let feed: FeedSource<ServerDescription>;

function list(): Promise<ListOutcome<ServerDescription>> {
  return new Promise((resolve) => feed.list(resolve));
}

function watch(): Promise<WatchOutcome<ServerDescription>> {
  return new Promise((resolve) => feed.watch(5, 1_000, resolve));
}

async function listed(items: readonly unknown[]): Promise<string[]> {
  answer = JSON.stringify({ items, more: false, at: 9 });
  const outcome = await list();
  return outcome.kind === 'listed' ? outcome.items.map(({ id }) => id) : [outcome.kind];
}

describe('objects that another writer has spoilt', () => {
  beforeEach(async () => {
    named = [];
    store = createServer((_, response) => response.end(answer));
    await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
    api = new ObjectApi(`127.0.0.1:${(store.address() as AddressInfo).port}`);
    feed = api.feed('servers', readServer, (_, name) => named.push(name));
  });

  afterEach(() => {
    api.close();
    store.closeAllConnections();
    store.close();
  });

  it('leave the others of a list as they are, also one without a revision and a last one without a name', async () => {
    const odd = [{ metadata: { name: 'b' }, spec: SPEC }, entry('c', null), entry('d', 'bytes'), {}, 7];
    expect(await listed([entry('a'), ...odd, entry('e'), null])).toEqual(['a', 'e']);
    expect(named).toEqual(['b', 'c', 'd', '', '', '']);
  });

  it('end a list that says it has more and names nothing to go on from', async () => {
    answer = JSON.stringify({ items: [{}, null], more: true, at: 9 });
    expect(await list()).toEqual({ kind: 'listed', items: [], revision: 9 });
    answer = JSON.stringify({ items: [entry('a')], more: true, at: 9 });
    expect((await list()).kind).toEqual('listed');
  });

  it('are gone in a watch, with the others of it taken in', async () => {
    const events = [
      { gone: false, object: entry('a', { ...SPEC, state: 'unheard of' }) },
      { gone: false, object: { metadata: { name: 'b' } } },
      { gone: false },
      'nonsense',
      { gone: false, object: entry('c') },
    ];
    answer = JSON.stringify({ events, at: 12 });
    const outcome = await watch();
    const changes = outcome.kind === 'changes' ? outcome.changes : [];
    expect(changes.map(({ id, item }) => [id, item?.id ?? null])).toEqual([
      ['a', null],
      ['b', null],
      ['c', 'c'],
    ]);
  });

  it('fail a call whose answer is no text of the kind, and no other one', async () => {
    answer = '\u0000{"items":';
    expect((await list()).kind).toEqual('failed');
    expect(await listed([entry('a')])).toEqual(['a']);
  });

  it('never spoil a good one, whatever they are', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(fc.jsonValue()), async (odd) => {
        const found = await listed([entry('a'), ...odd, entry('e')]);
        expect(found).toEqual(['a', 'e']);
      }),
      { seed: 42, numRuns: 50 },
    );
  });
});
