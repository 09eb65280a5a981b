import { expect } from 'earl';
import fc from 'fast-check';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { parseServer } from '../../platform/documents.js';
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
let responseBody: string;
let reportedNames: string[];
let feed: FeedSource<ServerDescription>;

function list(): Promise<ListOutcome<ServerDescription>> {
  return new Promise((resolve) => feed.list(resolve));
}

function watch(): Promise<WatchOutcome<ServerDescription>> {
  return new Promise((resolve) =>
    feed.watch(5, { wait: 1_000, dueTime: null, timeout: 1_600 }, resolve, () => undefined),
  );
}

async function listNames(items: readonly unknown[]): Promise<string[]> {
  responseBody = JSON.stringify({ items, more: false, at: 9 });
  const outcome = await list();
  return outcome.kind === 'listed' ? outcome.items.map(({ id }) => id) : [outcome.kind];
}

describe('malformed objects of other writers', () => {
  beforeEach(async () => {
    reportedNames = [];
    store = createServer((_, response) => response.end(responseBody));
    await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
    api = new ObjectStoreClient(toAddress(`127.0.0.1:${(store.address() as AddressInfo).port}`));
    feed = api.feed('servers', parseServer, (_, name) => reportedNames.push(name));
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

  it('end a list that announces more pages but has no name to continue from', async () => {
    responseBody = JSON.stringify({ items: [{}, null], more: true, at: 9 });
    expect(await list()).toEqual({ kind: 'listed', items: [], revision: 9 });
    responseBody = JSON.stringify({ items: [entry('a')], more: true, at: 9 });
    expect((await list()).kind).toEqual('listed');
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
});
