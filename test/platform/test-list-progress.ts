import { expect } from 'earl';
import { ok } from 'neverthrow';
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

describe('a list whose page ends with an item that is not JSON', () => {
  // The list goes on behind the name in its bytes: the same page comes again, and the items behind it are never listed.
  it('goes on behind its last readable item', () => {
    const items = new FeedItems(
      'servers',
      ({ metadata }) => ok(metadata.name),
      () => undefined,
    );
    const pages = new ListPages(items);
    const odd = '{"metadata":{"name":"a"},"spec":"x\\q"}';
    const first = readPage(page([entry('b'), entry('c'), odd], true), LIST_PAGE)._unsafeUnwrap();
    expect(pages.add(first)).toEqual('c');
  });
});
