import { expect } from 'earl';
import { ok, type Result } from 'neverthrow';
import { describe, it } from 'node:test';
import { FeedItems } from '../../platform/feed-items.js';
import { ListPages } from '../../platform/list-pages.js';
import { LIST_PAGE, readPage } from '../../platform/store-page.js';

const REVISION = 9;

function page(items: readonly string[], more: boolean): string {
  return `{"items":[${items.join()}],"more":${more},"at":${REVISION}}`;
}

function entry(name: string): string {
  return JSON.stringify({ metadata: { name, revision: 1 }, spec: {} });
}

/** An item that is no JSON, but shows a name. */
function oddEntry(name: string): string {
  return `{"metadata":{"name":"${name}"},"spec":"x\\q"}`;
}

function startList(): ListPages<string> {
  const parse = ({ metadata }: { metadata: { name: string } }): Result<string, string> => ok(metadata.name);
  return new ListPages(new FeedItems('servers', parse, () => undefined));
}

/** Adds a page that others follow. Returns the name behind which the list continues. */
function addPage(pages: ListPages<string>, items: readonly string[]): string | null {
  return pages.add(readPage(page(items, true), LIST_PAGE)._unsafeUnwrap());
}

describe('a list whose page ends with an item that is not JSON', () => {
  // The list goes on behind the name in its bytes: the same page comes again, and the items behind it are never listed.
  it('goes on behind its last readable item', () => {
    expect(addPage(startList(), [entry('b'), entry('c'), oddEntry('a')])).toEqual('c');
  });

  // A page that a large unreadable item fills by itself ended the list: a daemon that started then lacked the servers behind it.
  it('goes on behind an unreadable item where nothing else leads on', () => {
    const pages = startList();
    expect(addPage(pages, [entry('b'), oddEntry('c')])).toEqual('b');
    expect(addPage(pages, [oddEntry('c')])).toEqual('c');
    expect(addPage(pages, [oddEntry('c')])).toEqual(null);
  });
});
