import { expect } from 'earl';
import { describe, it } from 'node:test';
import { drawOddEntries, standingKinds } from './entry-schedule.js';
import { FakeStore } from './fake-store.js';
import { ODD_ENTRY_KINDS } from './odd-entries.js';

const LENGTH_MILLISECONDS = 20_000;
const SUBJECT = { name: 'odd-1', service: 'plain', address: '127.0.0.1:9', zone: 'z0' };
const SOUND_SPEC = { service: 'plain', address: '127.0.0.1:10' };

function seeds(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}

function titlesOf(planned: ReturnType<typeof drawOddEntries>): string[] {
  return planned.filter(({ place }) => place.kind === 'servers').map(({ entry }) => entry?.title ?? '');
}

async function withStore(use: (store: FakeStore, url: string) => Promise<void>): Promise<void> {
  const store = new FakeStore();
  const address = await store.start();
  try {
    await use(store, `http://${address}/api/objects/servers`);
  } finally {
    store.stop();
  }
}

async function readBytes(url: string): Promise<string> {
  const response = await fetch(url);
  return Buffer.from(await response.arrayBuffer()).toString('latin1');
}

describe('the odd entries of a soak', () => {
  // Some kinds of odd entries stood in no run, since all seeds began with the same ones.
  it('are of all kinds within eight seeds, whatever the number of daemons', () => {
    const titles = new Set(seeds(8).flatMap((seed) => titlesOf(drawOddEntries(seed, LENGTH_MILLISECONDS))));
    expect(ODD_ENTRY_KINDS.filter(({ title }) => !titles.has(title))).toEqual([]);
  });

  // Some kinds of odd entries never stood while nothing else was wrong.
  it('stand in the final time without other faults in all kinds within eight seeds', () => {
    const titles = new Set(seeds(8).flatMap((seed) => standingKinds(seed).map(({ title }) => title)));
    expect(ODD_ENTRY_KINDS.filter(({ title }) => !titles.has(title))).toEqual([]);
  });

  // A run could not be repeated by its seed.
  it('are the same for the same seed', () => {
    const [first, second] = [drawOddEntries(5, LENGTH_MILLISECONDS), drawOddEntries(5, LENGTH_MILLISECONDS)];
    expect(first.map(({ at, lasts, place }) => ({ at, lasts, place }))).toEqual(
      second.map(({ at, lasts, place }) => ({ at, lasts, place })),
    );
    expect(titlesOf(first)).toEqual(titlesOf(second));
  });

  // Entries left by a second writer never took the place of a server's own.
  it('take the names of servers, change, and stand for servers of both services', () => {
    const planned = drawOddEntries(1, LENGTH_MILLISECONDS);
    const places = planned.map(({ place }) => place).filter((place) => place.kind === 'servers');
    expect(places.some(({ takesName }) => takesName)).toEqual(true);
    expect(new Set(places.map(({ service }) => service)).size).toEqual(2);
    expect(planned.some(({ next }) => next !== null)).toEqual(true);
  });

  // An odd value in a name or a zone is under the name of a server no odd entry of that server.
  it('keep the name under which they stand', () => {
    for (const kind of ODD_ENTRY_KINDS.filter(({ canTakeName }) => canTakeName)) {
      expect(kind.build(SUBJECT).name).toEqual(SUBJECT.name);
    }
  });
});

describe('the store of a soak', () => {
  // The store encoded every item as JSON, so that no reader ever got other bytes.
  it('passes on the bytes of another writer in a list, and sound objects beside them', async () => {
    await withStore(async (store, url) => {
      store.put('servers', 'a', SOUND_SPEC);
      store.putBytes('servers', 'b', Uint8Array.from([0xff, 0xc3, 0x28]));
      store.putBytes('servers', 'c', Buffer.from('{"revision":REVISION}'));
      const sound = `{"metadata":{"name":"a","revision":2,"made":2},"spec":${JSON.stringify(SOUND_SPEC)}}`;
      expect(await readBytes(url)).toEqual(
        `{"items":[${sound},\u00ff\u00c3\u0028,{"revision":4}],"more":false,"at":4}`,
      );
    });
  });

  // An odd entry that came after the list of a daemon was seen by none.
  it('passes them on in the events of a watch', async () => {
    await withStore(async (store, url) => {
      const watched = readBytes(`${url}?watch=1&waitMs=5000`);
      store.putBytes('servers', 'b', Buffer.from('no JSON'));
      expect(await watched).toEqual('{"events":[{"object":no JSON,"gone":false}],"at":2}');
    });
  });

  // A list that an entry of 1 MB takes over the limit of a page came in one piece.
  it('continues a list behind a name after a page of a megabyte', async () => {
    await withStore(async (store, url) => {
      store.put('servers', 'c', SOUND_SPEC);
      store.putBytes('servers', 'b', Buffer.alloc(1_000_000, '1'));
      store.put('servers', 'a', SOUND_SPEC);
      const first = await readBytes(url);
      expect(first.includes('"name":"a"')).toEqual(true);
      expect(first.includes('"name":"c"')).toEqual(false);
      expect(first.endsWith('],"more":true,"at":4}')).toEqual(true);
      const second = await readBytes(`${url}?after=b`);
      expect(second.includes('"name":"c"')).toEqual(true);
      expect(second.endsWith('],"more":false,"at":4}')).toEqual(true);
    });
  });
});
