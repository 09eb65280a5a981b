/** Properties of what is read from the store: odd objects cost themselves, and no object is thrown upon. */
import fc from 'fast-check';
import { parseConfiguration, parseServer, type StoredObject } from '../../platform/documents.js';
import { FeedItems } from '../../platform/feed-items.js';
import { scanValue } from '../../platform/json-scanner.js';
import { ListPages } from '../../platform/list-pages.js';
import { LIST_PAGE, parseJson, readPage, type StorePage, WATCH_PAGE } from '../../platform/store-page.js';
import { err, ok, type Result } from 'neverthrow';
import type { FuzzProperty } from './fuzz-property.js';
import { countReadCharacters } from './step-counter.js';
import {
  anyListPage,
  anyName,
  anyWatchPage,
  costlyPage,
  type GeneratedPage,
  isSoundName,
  PAGE_REVISION,
} from './store-texts.js';

/** The longest time that a timer can wait. */
const MAX_TIMER_MILLISECONDS = 2 ** 31 - 1;
const MAX_READS_PER_CHARACTER = 12;
const MAX_NAME_LENGTH = 1_000;

type PageReader = (text: string) => Result<StorePage, string>;

const readListPage: PageReader = (text) => readPage(text, LIST_PAGE);
const readWatchPage: PageReader = (text) => readPage(text, WATCH_PAGE);

function buildItems(): FeedItems<string> {
  return new FeedItems<string>(
    'servers',
    ({ metadata }) => ok(metadata.name),
    () => undefined,
  );
}

function isSame(names: readonly string[], others: readonly string[]): boolean {
  return names.length === others.length && names.every((name, index) => name === others[index]);
}

function listedNames(page: StorePage): string[] {
  const pages = new ListPages(buildItems());
  pages.add(page);
  const outcome = pages.outcome();
  return 'items' in outcome ? outcome.items.map(({ id }) => id) : [];
}

function holdsSoundItems(pages: fc.Arbitrary<GeneratedPage>, read: (text: string) => string[] | null) {
  return fc.property(pages, ({ text, soundNames }) => {
    const names = read(text)?.filter(isSoundName) ?? [];
    return isSame(names, soundNames);
  });
}

/** Returns the names of the items if the page's position is right. */
function listItems(read: PageReader) {
  return (text: string): string[] | null =>
    read(text).match(
      (page) => (page.at === PAGE_REVISION && !page.more ? listedNames(page) : null),
      () => null,
    );
}

function watchItems(read: PageReader) {
  return (text: string): string[] | null =>
    read(text).match(
      (page) =>
        page.at === PAGE_REVISION
          ? buildItems()
              .toWatchedChanges(page)
              .changes.flatMap(({ item }) => item ?? [])
          : null,
      () => null,
    );
}

/** Takes a page as a whole or not at all, as the planted fault. */
function readWhole(field: string): PageReader {
  return (text) =>
    parseJson(text).andThen((page) => {
      const { [field]: items, at } = Object(page) as Record<string, unknown>;
      return Array.isArray(items) ? ok({ items, at: Number(at), more: false }) : err('no page');
    });
}

function costsItsLength(read: (text: string) => void) {
  return fc.property(costlyPage, (text) => {
    return countReadCharacters(() => read(text)) <= MAX_READS_PER_CHARACTER * text.length + 1_000;
  });
}

/** Scans from each bracket again, as the planted fault. */
function readFromEachBracket(text: string): void {
  for (let start = text.indexOf('{'); start >= 0; start = text.indexOf('{', start + 1)) {
    scanValue(text, start, { maxDepth: Number.POSITIVE_INFINITY, inner: LIST_PAGE.itemStart });
  }
}

const anyObject: fc.Arbitrary<StoredObject> = fc.record({
  metadata: fc.record({ name: fc.string(), revision: fc.double(), made: fc.double() }),
  spec: fc.anything(),
});

function isParsedOrRejected(parse: (object: StoredObject) => unknown) {
  return fc.property(anyObject, (object) => {
    parse(object);
  });
}

/** Reads a field without a check, as the planted fault. */
function parseUnchecked({ spec }: StoredObject): string {
  return (spec as { address: string }).address.trim();
}

const oddNumber = fc.oneof(
  { arbitrary: fc.constantFrom(1, 2.5, 86_401, 2 ** 31, 1e306, 1e308), weight: 8 },
  { arbitrary: fc.oneof(fc.double(), fc.integer(), fc.constantFrom(0, 2 ** 53)), weight: 1 },
);
const oddText = fc.oneof(fc.string(), fc.constantFrom('/', '/a/', '__proto__', '\ud800'));
const anyConfiguration = fc.record({
  version: oddNumber,
  routes: fc.array(
    fc.record({
      name: oddText,
      host: oddText,
      pathPrefix: oddText.map((path) => `/${path}/`),
      routeType: oddText,
      timeoutS: oddNumber,
      targetLatencyS: oddNumber,
      priority: oddNumber,
      maxAttempts: fc.oneof(fc.constant(3), oddNumber),
      service: oddText,
    }),
    { maxLength: 2 },
  ),
  services: fc.array(fc.record({ name: oddText, maxConns: oddNumber, warmupS: oddNumber }), { maxLength: 2 }),
  limits: fc.record({
    maxHeaderBytes: oddNumber,
    maxBodyBytes: oddNumber,
    headerTimeoutS: oddNumber,
    idleTimeoutS: oddNumber,
  }),
});

function fitsTimers(parse: (object: StoredObject) => Result<number[], string>) {
  return fc.property(anyConfiguration, (spec) => {
    const object = { metadata: { name: 'main', revision: 1, made: 1 }, spec };
    return parse(object)
      .unwrapOr([])
      .every((time) => time >= 0 && time <= MAX_TIMER_MILLISECONDS);
  });
}

/** Returns all times of a configuration in milliseconds. */
function configuredTimes(object: StoredObject): Result<number[], string> {
  return parseConfiguration(object).map(({ routes, services, limits }) => [
    limits.headerTimeout,
    limits.idleTimeout,
    ...routes.flatMap(({ timeout, latencyObjective }) => [timeout, latencyObjective]),
    ...[...services.values()].map(({ coldTime }) => coldTime),
  ]);
}

/** Converts a time without a bound, as the planted fault. */
function unboundedTime({ spec }: StoredObject): Result<number[], string> {
  return ok([(spec as { limits: { idleTimeoutS: number } }).limits.idleTimeoutS * 1_000]);
}

const objectWithAnyName = fc.record({
  metadata: fc.record({ name: anyName, revision: fc.nat() }),
  spec: fc.jsonValue(),
});

function canBeSentBack(readName: (raw: unknown) => string) {
  return fc.property(fc.oneof(fc.jsonValue(), objectWithAnyName), (raw) => {
    const name = readName(raw);
    return name.length <= MAX_NAME_LENGTH && encodeURIComponent(name).length >= name.length;
  });
}

/** Takes any text for a name, as the planted fault. */
function uncheckedName(raw: unknown): string {
  const { metadata } = Object(raw) as { metadata?: unknown };
  return String((Object(metadata) as { name?: unknown }).name ?? '');
}

export const STORE_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: 'an entry is parsed or rejected',
    build: () => isParsedOrRejected(parseServer),
    buildWithPlantedFault: () => isParsedOrRejected(parseUnchecked),
    shortRuns: 500,
  },
  {
    name: 'a list has all its sound objects whatever stands beside them',
    build: () => holdsSoundItems(anyListPage, listItems(readListPage)),
    buildWithPlantedFault: () => holdsSoundItems(anyListPage, listItems(readWhole('items'))),
    shortRuns: 500,
  },
  {
    name: 'a watch has all its sound objects whatever stands beside them',
    build: () => holdsSoundItems(anyWatchPage, watchItems(readWatchPage)),
    buildWithPlantedFault: () => holdsSoundItems(anyWatchPage, watchItems(readWhole('events'))),
    shortRuns: 500,
  },
  {
    name: 'a page costs no more than its length',
    build: () => costsItsLength(readListPage),
    buildWithPlantedFault: () => costsItsLength(readFromEachBracket),
    shortRuns: 100,
  },
  {
    name: 'the times of a configuration fit a timer',
    build: () => fitsTimers(configuredTimes),
    buildWithPlantedFault: () => fitsTimers(unboundedTime),
    shortRuns: 500,
  },
  {
    name: 'the name of any object can be sent back',
    build: () => canBeSentBack((raw) => buildItems().toListedChange(raw, PAGE_REVISION).id),
    buildWithPlantedFault: () => canBeSentBack(uncheckedName),
    shortRuns: 500,
  },
];
