import { expect } from 'earl';
import { describe, it } from 'node:test';
import { LIST_PAGE, readPage } from '../../platform/store-page.js';

/** The store's limit on an object. */
const LENGTH = 1024 * 1024;

describe('a page with an item that is not JSON', () => {
  // The search for the next item looked back from each white space at all before it: 80 KB held the event loop for 13 s, 1 MB for over 90 s.
  it('is read in time that grows with its length only: white space', () => {
    const page = `{"items":[{"metadata"${' '.repeat(LENGTH)}x,{"metadata":{"name":"i-1","revision":1}}],"more":false,"at":5}`;
    const items = readPage(page, LIST_PAGE).map(({ items }) => items.length);
    expect(items.unwrapOr(0)).toEqual(2);
  });
});
