/** Kinds of odd entries that another writer leaves in the store among those of the servers, each as the bytes that readers get. */
import { REVISION_MARK } from './fake-store.js';

/** What an entry would say if it weren't odd. */
export interface EntrySubject {
  /** Name under which the store keeps the entry. */
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
}

/** An entry as the store keeps it. */
export interface OddEntry {
  readonly name: string;
  readonly bytes: Uint8Array;
}

/** One kind of odd entry. */
export interface OddEntryKind {
  readonly title: string;
  /** Whether the entry can stand under the name of a server: it keeps the name and the zone. */
  readonly canTakeName: boolean;
  build(subject: EntrySubject): OddEntry;
}

/** JSON texts by field. */
export type Fields = Readonly<Record<string, string>>;

const LONG_TEXT_CHARACTERS = 1_000_000;
const LONG_NAME_CHARACTERS = 100_000;

/** Returns the text of a JSON object. */
export function toObject(fields: Fields): string {
  return `{${Object.entries(fields)
    .map(([field, text]) => `${JSON.stringify(field)}:${text}`)
    .join(',')}}`;
}

function arrays(depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

function objects(depth: number): string {
  return `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`;
}

function specOf({ service, address, zone }: EntrySubject, changes: Fields): string {
  const texts = { service, address, zone, version: '1', state: 'ready' };
  const fields = Object.entries(texts).map(([field, text]) => [field, JSON.stringify(text)] as const);
  const numbers = { capacity: '8', warmupLeftS: '0', sequence: '1' };
  return toObject({ ...Object.fromEntries(fields), ...numbers, ...changes });
}

function metadataOf(name: string, changes: Fields): string {
  const revision = { revision: REVISION_MARK, made: REVISION_MARK };
  return toObject({
    name: JSON.stringify(name),
    ...revision,
    finalizers: '[]',
    deleting: 'false',
    ...changes,
  });
}

function toEntry(subject: EntrySubject, metadata: Fields, spec: string, more: Fields = {}): OddEntry {
  const { name } = subject;
  const fields = { metadata: metadataOf(name, metadata), spec, status: 'null', ...more };
  return { name, bytes: Buffer.from(toObject(fields)) };
}

/** Returns a kind whose spec has other values in some fields. */
function withSpec(title: string, changes: Fields): OddEntryKind {
  return {
    title,
    canTakeName: !('zone' in changes),
    build: (subject) => toEntry(subject, {}, specOf(subject, changes)),
  };
}

/** Returns a kind whose metadata has other values in some fields. */
function withMetadata(title: string, changes: Fields): OddEntryKind {
  return {
    title,
    canTakeName: !('name' in changes),
    build: (subject) => toEntry(subject, changes, specOf(subject, {})),
  };
}

/** Returns a kind of sound format with another name. */
function withName(title: string, rename: (name: string) => string, changes: Fields = {}): OddEntryKind {
  return {
    title,
    canTakeName: false,
    build: (subject) => {
      const renamed = { ...subject, name: rename(subject.name) };
      return toEntry(renamed, {}, specOf(renamed, changes));
    },
  };
}

/** Returns a kind that is no JSON. */
function withBytes(title: string, toBytes: (subject: EntrySubject) => Uint8Array): OddEntryKind {
  return {
    title,
    canTakeName: true,
    build: (subject) => ({ name: subject.name, bytes: toBytes(subject) }),
  };
}

/** Returns an entry of sound format with two bytes in the place of its zone's first one. */
function replaceZoneStart(subject: EntrySubject, bytes: readonly number[]): Uint8Array {
  const text = toEntry({ ...subject, zone: '?' }, {}, specOf({ ...subject, zone: '?' }, {})).bytes;
  const at = Buffer.from(text).indexOf('?');
  return Buffer.concat([text.subarray(0, at), Uint8Array.from(bytes), text.subarray(at + 1)]);
}

function quoted(text: string): string {
  return JSON.stringify(text);
}

const ADDRESS_KINDS: readonly OddEntryKind[] = [
  withSpec('port 65536', { address: '"127.0.0.1:65536"' }),
  withSpec('port 70000', { address: '"127.0.0.1:70000"' }),
  withSpec('port 0', { address: '"127.0.0.1:0"' }),
  withSpec('port with leading zeros', { address: '"127.0.0.1:00009"' }),
  withSpec('octets 999', { address: '"999.999.999.999:80"' }),
  withSpec('octet 256', { address: '"127.0.0.256:80"' }),
  withSpec('address without port', { address: '"nowhere"' }),
  withSpec('address with a name', { address: '"nowhere:80"' }),
];

const NUMBER_KINDS: readonly OddEntryKind[] = [
  withSpec('capacity 0', { capacity: '0' }),
  withSpec('capacity -1', { capacity: '-1' }),
  withSpec('capacity 1.5', { capacity: '1.5' }),
  withSpec('capacity 10000', { capacity: '10000' }),
  withSpec('capacity 2e9', { capacity: '2000000000' }),
  withSpec('capacity 2^53', { capacity: '9007199254740992' }),
  withSpec('capacity 1e400', { capacity: '1e400' }),
  withSpec('warm-up 1e400', { warmupLeftS: '1e400' }),
  withSpec('warm-up -1e308', { warmupLeftS: '-1e308' }),
  withSpec('warm-up 3600', { warmupLeftS: '3600' }),
  withSpec('sequence 1e400', { sequence: '1e400' }),
  withSpec('sequence -1e300', { sequence: '-1e300' }),
  withSpec('born 2^53', { born: '9007199254740992' }),
  withSpec('born 1e300', { born: '1e300' }),
  withSpec('born -1', { born: '-1' }),
  withMetadata('revision 1e400', { revision: '1e400' }),
  withMetadata('revision 1e308', { revision: '1e308' }),
  withMetadata('revision 2^63', { revision: '9223372036854775807' }),
  withMetadata('revision -1', { revision: '-1' }),
  withMetadata('revision 100.5', { revision: '100.5' }),
  withMetadata('made 1e308', { made: '1e308' }),
  withMetadata('made 1e400', { made: '1e400' }),
  withMetadata('made -1e15', { made: '-1e15' }),
];

const NESTED_KINDS: readonly OddEntryKind[] = [
  withSpec('extra field nested 10,000 deep', { extra: arrays(10_000) }),
  withSpec('extra field nested 200,000 deep', { extra: arrays(200_000) }),
  withSpec('extra objects nested 200,000 deep', { extra: objects(200_000) }),
  withSpec('zone nested 100,000 deep', { zone: arrays(100_000) }),
  withMetadata('metadata nested 100,000 deep', { finalizers: arrays(100_000) }),
  withMetadata('name nested 100,000 deep', { name: arrays(100_000) }),
  {
    title: 'spec nested 100,000 deep',
    canTakeName: true,
    build: (subject) => toEntry(subject, {}, arrays(100_000)),
  },
  {
    title: 'field beside the spec nested 100,000 deep',
    canTakeName: true,
    build: (subject) => toEntry(subject, {}, specOf(subject, {}), { more: objects(100_000) }),
  },
];

const TEXT_KINDS: readonly OddEntryKind[] = [
  withName('long name', (name) => name.padEnd(LONG_NAME_CHARACTERS, 'x')),
  withName('name __proto__', () => '__proto__'),
  withName('name with control characters', (name) => `${name}\r\n\u0000`),
  withName('name with a lone surrogate', (name) => `${name}\ud800`),
  withName('name with a lone surrogate at the end of a page', (name) => `${name}\udfff`, {
    version: quoted('v'.repeat(LONG_TEXT_CHARACTERS)),
  }),
  withSpec('service __proto__', { service: '"__proto__"' }),
  withSpec('zone of 1 MB', { zone: quoted('z'.repeat(LONG_TEXT_CHARACTERS)) }),
  withSpec('zone with control characters', { zone: quoted('a\r\n\u0000') }),
  withSpec('zone with a lone surrogate', { zone: '"\\ud800z"' }),
];

const BYTE_KINDS: readonly OddEntryKind[] = [
  withBytes('plain text', () => Buffer.from('this is no JSON')),
  withBytes('object that breaks off', ({ name }) =>
    Buffer.from(`{"metadata":{"name":${quoted(name)},"revision":${REVISION_MARK}},"spec":{`),
  ),
  withBytes('text that breaks off', ({ name }) =>
    Buffer.from(`{"metadata":{"name":${quoted(name)},"revision":${REVISION_MARK}},"spec":{"service":"pl`),
  ),
  withBytes('bytes that are no UTF-8', () => Uint8Array.from([0xff, 0xfe, 0x00, 0xc3, 0x28, 0x80])),
  withBytes('zone that is no UTF-8', (subject) => replaceZoneStart(subject, [0xc3, 0x28])),
  withBytes('nothing', () => new Uint8Array(0)),
  withBytes('null', () => Buffer.from('null')),
];

/** All kinds. */
export const ODD_ENTRY_KINDS: readonly OddEntryKind[] = [
  ...ADDRESS_KINDS,
  ...NUMBER_KINDS,
  ...NESTED_KINDS,
  ...TEXT_KINDS,
  ...BYTE_KINDS,
];

/** An entry of several megabytes, which rarely stands. */
export const HUGE_ENTRY_KIND: OddEntryKind = withSpec('extra field nested 2,000,000 deep', {
  extra: arrays(2_000_000),
});

/** Kinds of odd evacuations, whose name is no zone. */
export const ODD_EVACUATION_KINDS: readonly OddEntryKind[] = [
  withName('evacuation with a long name', (name) => name.padEnd(LONG_NAME_CHARACTERS, 'x')),
  withName('evacuation __proto__', () => '__proto__'),
  withBytes('evacuation that is plain text', () => Buffer.from('this is no JSON')),
  withMetadata('evacuation with a revision of 1e400', { revision: '1e400' }),
];

/** Odd values of fields of the leader's record. */
export const ODD_LEADER_FIELDS: readonly Fields[] = [
  { address: '"127.0.0.1:65536"' },
  { address: '"nowhere"' },
  { address: '"999.999.999.999:80"' },
  { address: quoted('x'.repeat(LONG_NAME_CHARACTERS)) },
  { extra: arrays(100_000) },
  { beat: '1e308' },
  { term: '"many"' },
];
