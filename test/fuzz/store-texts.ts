/** Generates pages of the store in which sound objects stand beside odd ones. */
import fc from 'fast-check';

/** The store's revision in generated pages. */
export const PAGE_REVISION = 77;
const SOUND_NAME = /^sound-\d+$/;
const MAX_DEPTH = 5_000;
const MAX_TRUNCATED_LENGTH = 400;
const MAX_REPETITIONS = 400;
const JSON_PARTS = [
  ...['"', '{', '[', '}', ']', ':', ',', '\\', '1', 'a', ' ', '\n', '\u0000', 'true'],
  ...['"metadata":', '{"metadata":', '{"object":', '"name":"'],
];
const ODD_NUMBERS = ['1e400', '9223372036854775807', '-1', '0x5', '1e308', '2.5', '01'];
const ODD_NAMES = ['__proto__', 'constructor', '\ud800', '\u0000', 'x'.repeat(2_000), ''];

/** Names that may be unusable. */
export const anyName: fc.Arbitrary<string> = fc.oneof(fc.string(), fc.constantFrom(...ODD_NAMES));

const soundObject = (index: number): string =>
  JSON.stringify({
    metadata: { name: `sound-${index}`, revision: index, made: 1, finalizers: [], deleting: false },
    spec: { service: 's', zone: 'z "\\ [{' },
    status: null,
  });

const oddObject = fc
  .record({
    metadata: fc.record({
      name: fc.oneof(
        fc.string().map((name) => `odd-${name}`),
        fc.constantFrom(...ODD_NAMES),
      ),
      revision: fc.oneof(fc.double(), fc.constant('@')),
      finalizers: fc.array(fc.string()),
    }),
    spec: fc.dictionary(fc.string(), fc.oneof(fc.string(), fc.double(), fc.boolean())),
  })
  .chain((object) =>
    fc.constantFrom(...ODD_NUMBERS).map((number) => JSON.stringify(object).replace('"@"', number)),
  );

const deepObject = fc.nat(MAX_DEPTH).map((depth) => {
  const deep = '['.repeat(depth) + ']'.repeat(depth);
  return `{"metadata":{"name":"odd-deep","revision":1},"spec":${deep}}`;
});

/** An object of another writer, which may be anything. */
const oddText: fc.Arbitrary<string> = fc.oneof(
  oddObject,
  fc.tuple(oddObject, fc.nat(MAX_TRUNCATED_LENGTH)).map(([text, length]) => text.slice(0, length)),
  deepObject,
  fc.jsonValue().map((value) => JSON.stringify(value)),
  fc.string({ unit: 'binary' }),
  fc.uint8Array().map((bytes) => Buffer.from(bytes).toString('utf8')),
  fc.array(fc.constantFrom(...JSON_PARTS)).map((parts) => parts.join('')),
);

/** A page as the store sends it, and the names of its sound objects. */
export interface GeneratedPage {
  readonly text: string;
  readonly soundNames: readonly string[];
}

/** The objects of a page; null stands for a sound one. */
const objects = fc.array(fc.option(oddText), { maxLength: 12 });

function soundNames(texts: readonly (string | null)[]): string[] {
  return texts.flatMap((text, index) => (text === null ? [`sound-${index}`] : []));
}

export const anyListPage: fc.Arbitrary<GeneratedPage> = objects.map((texts) => {
  const items = texts.map((text, index) => text ?? soundObject(index));
  return {
    text: `{"items":[${items.join(',')}],"more":false,"at":${PAGE_REVISION}}`,
    soundNames: soundNames(texts),
  };
});

export const anyWatchPage: fc.Arbitrary<GeneratedPage> = fc
  .tuple(objects, fc.constantFrom('', '}'))
  .map(([texts, end]) => {
    const events = texts.map((text, index) =>
      text === null
        ? `{"gone":false,"object":${soundObject(index)}}`
        : `{"gone":false,"object":${text}${end}`,
    );
    return {
      text: `{"events":[${events.join(',')}],"at":${PAGE_REVISION}}`,
      soundNames: soundNames(texts),
    };
  });

/** Returns whether a name is one of a sound object. */
export function isSoundName(name: string): boolean {
  return SOUND_NAME.test(name);
}

/** Texts that are costly for a parser that starts again at each error. */
export const costlyPage: fc.Arbitrary<string> = fc
  .tuple(
    fc.constantFrom(
      '{"metadata":',
      '[{"metadata":',
      '{"metadata":[',
      '{"metadata":{"name":"x"},"spec":[1,',
      '{"metadata":"\\"',
      '[',
      '"\\\\',
      '{"a":',
      ',{"metadata":"x',
    ),
    fc.integer({ min: 1, max: MAX_REPETITIONS }),
  )
  .map(([part, times]) => `{"items":[${part.repeat(times)}`);
