/** Pages and events of the fake store, put together from the bytes of their objects. */

/** An object of the store, with what readers get for it. */
interface EncodedObject {
  readonly metadata: { readonly name: string };
  readonly encoded: Buffer;
}

/** Part of a list, in the order of the names. */
export interface ObjectPage {
  readonly items: readonly EncodedObject[];
  /** Whether objects follow. */
  readonly hasMore: boolean;
}

const MAX_PAGE_ITEMS = 500;
/** A page ends with the object that takes it to this size. */
const PAGE_BYTES = 1_000_000;

/** Returns the page of a list that begins behind a name; null: the first one. */
export function pageAfter(objects: readonly EncodedObject[], after: string | null): ObjectPage {
  const rest = objects
    .filter(({ metadata }) => after === null || metadata.name > after)
    .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
  let size = 0;
  const end = rest.findIndex(({ encoded }, index) => {
    size += encoded.length;
    return size >= PAGE_BYTES || index + 1 === MAX_PAGE_ITEMS;
  });
  const count = end === -1 ? rest.length : end + 1;
  return { items: rest.slice(0, count), hasMore: count < rest.length };
}

function join(chunks: readonly Buffer[]): Buffer {
  const separated = chunks.flatMap((chunk, index) => (index === 0 ? [chunk] : [Buffer.from(','), chunk]));
  return Buffer.concat(separated);
}

/** Encodes the answer to a list. */
export function encodePage({ items, hasMore }: ObjectPage, revision: number): Buffer {
  const end = Buffer.from(`],"more":${hasMore},"at":${revision}}`);
  return Buffer.concat([Buffer.from('{"items":['), join(items.map(({ encoded }) => encoded)), end]);
}

/** Encodes the answer to a watch. */
export function encodeEvents(
  events: readonly { readonly object: EncodedObject; readonly gone: boolean }[],
  revision: number,
): Buffer {
  const encoded = events.map(({ object, gone }) =>
    Buffer.concat([Buffer.from('{"object":'), object.encoded, Buffer.from(`,"gone":${gone}}`)]),
  );
  const end = Buffer.from(`],"at":${revision}}`);
  return Buffer.concat([Buffer.from('{"events":['), join(encoded), end]);
}
