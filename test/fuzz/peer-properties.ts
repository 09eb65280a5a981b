/**
 * Properties of what peers send and what the daemons keep in the store: no frame and no object makes a parser throw, and nothing passes for
 * an address that is none, or for units that do not cover each key once.
 */
import fc from 'fast-check';
import { LAST_KEY } from '../../src/router/model/identifiers.js';
import { parseAddress } from '../../src/router/model/address.js';
import type { OwnershipTable } from '../../src/router/ownership/ownership-table.js';
import { parseLeaderRecord, type LeaderRecord } from '../../src/router/ownership/stored-objects.js';
import { readOwnershipRecord } from '../../src/router/ownership/stored-table.js';
import type { PeerMessage } from '../../src/router/peers/messages.js';
import { decodePeerMessage } from '../../src/router-runtime/peer-codec.js';
import { router } from '../../src/wire/generated/router.js';
import type { AnyProperty, FuzzProperty } from './fuzz-property.js';

const oddText = fc.oneof(
  fc.constantFrom('', 'nowhere', '127.0.0.1:65536', '999.0.0.1:80', '10.0.0.1:80', '10.0.0.2:0', '__proto__'),
  fc.string(),
);
const oddNumber = fc.oneof(fc.constantFrom(0, -1, 1.5, 2 ** 32, 2 ** 53, Infinity, NaN), fc.double());
const proxy = fc.record({ daemon: oddText, zone: oddText, address: oddText, requests: oddNumber });
const serverChange = fc.record(
  { id: oddText, server: fc.record({ id: oddText, service: oddText, address: oddText, slots: oddNumber }) },
  { requiredKeys: ['id'] },
);
const leader = { term: oddNumber, leader: oddText, leaderLife: oddNumber, leaderAddress: oddText };
const oddFrame = fc.oneof(
  fc.record({ heartbeat: fc.record({ ...leader, daemons: oddNumber, proxies: fc.array(proxy) }) }),
  fc.record({ leaderNotice: fc.record(leader) }),
  fc.record({ redirect: fc.record({ address: oddText }) }),
  fc.record({
    report: fc.record({
      daemon: oddText,
      address: oddText,
      failedRelay: oddText,
      reach: proxy,
      proxies: fc.array(proxy),
    }),
  }),
  fc.record({ serverNews: fc.record({ base: oddNumber, changes: fc.array(serverChange) }) }),
);
const frameBytes = oddFrame.map((frame) => router.Frame.encode(frame as unknown as router.Frame).finish());
/** A frame with some bytes replaced, some left out at its end. */
const mutatedBytes = fc
  .tuple(frameBytes, fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 4 }), fc.nat(8))
  .map(([bytes, changes, cut]) => {
    const mutated = Uint8Array.from(bytes);
    for (const [at, byte] of changes.filter(() => mutated.length > 0)) {
      mutated[at % mutated.length] = byte;
    }
    return mutated.subarray(0, Math.max(0, mutated.length - cut));
  });
const anyBytes = fc.oneof(frameBytes, mutatedBytes, fc.uint8Array({ maxLength: 200 }));

function isAddress(text: string): boolean {
  return parseAddress(text).isOk();
}

function isAddressOrEmpty(text: string): boolean {
  return text === '' || isAddress(text);
}

/** Returns whether each address in a message is one. */
function hasAddressesOnly(message: PeerMessage): boolean {
  switch (message.kind) {
    case 'heartbeat':
      return (
        isAddress(message.leaderAddress) && message.proxies.every(({ address }) => isAddressOrEmpty(address))
      );
    case 'leaderNotice':
      return isAddress(message.leaderAddress);
    case 'redirect':
      return isAddress(message.address);
    case 'report': {
      const proxies = message.reach === null ? message.proxies : [message.reach, ...message.proxies];
      const isSound = isAddress(message.address) && isAddressOrEmpty(message.failedRelay);
      return isSound && proxies.every(({ address }) => isAddressOrEmpty(address));
    }
    case 'serverNews':
      return message.changes.every(({ server }) => server === null || isAddress(server.address));
    default:
      return true;
  }
}

function anyFrameHasAddressesOnly(decode: (bytes: Uint8Array) => PeerMessage | null): AnyProperty {
  return fc.property(anyBytes, (bytes) => {
    const message = decode(bytes);
    return message === null || hasAddressesOnly(message);
  }) as AnyProperty;
}

/** Believes what a redirect says, as the planted fault. */
function decodeUnchecked(bytes: Uint8Array): PeerMessage | null {
  try {
    const { redirect } = router.Frame.decode(bytes);
    return redirect ? ({ kind: 'redirect', address: redirect.address } as PeerMessage) : null;
  } catch {
    return null;
  }
}

const oddKey = fc.oneof(fc.nat(LAST_KEY), fc.nat(LAST_KEY), fc.constantFrom<unknown>(-1, 65_536, '7', null));
const oddUnit = fc.record({
  service: fc.constantFrom<unknown>('a', 'b', 'b', 7),
  from: oddKey,
  to: oddKey,
  owner: fc.constantFrom<unknown>('s1', 's2', null),
  fence: fc.oneof(fc.nat(99), oddNumber),
  releasing: fc.constantFrom<unknown>(null, 's3', 3),
});
const oddTable = fc.record({
  writeId: fc.anything(),
  table: fc.record({
    term: fc.oneof(fc.nat(9), oddNumber),
    nextFence: fc.oneof(fc.nat(99), oddNumber),
    units: fc.oneof(fc.array(oddUnit), fc.anything()),
    unconfirmedReleases: fc.oneof(fc.array(fc.record({ server: oddText, address: oddText })), fc.anything()),
  }),
});

/** Returns whether each service has all keys once, and fences go on above those in use. */
function isSoundTable({ units, nextFence }: OwnershipTable): boolean {
  const nextKeys = new Map<string, number>();
  const areAdjacent = units.every(({ service, from, to, fence }) => {
    const isNext = (nextKeys.get(service) ?? 0) === from && to >= from && fence < nextFence;
    nextKeys.set(service, to + 1);
    return isNext;
  });
  return areAdjacent && [...nextKeys.values()].every((next) => next === LAST_KEY + 1);
}

function anyTableIsSound(read: (value: unknown) => OwnershipTable): AnyProperty {
  return fc.property(fc.oneof(oddTable, fc.anything()), (value) => isSoundTable(read(value))) as AnyProperty;
}

/** Leaves malformed units out without regard to their keys, as the planted fault. */
function readWithGaps(value: unknown): OwnershipTable {
  const { table } = readOwnershipRecord(value);
  return { ...table, units: table.units.filter(({ owner }) => owner !== '') };
}

const oddRecord = fc.record({
  term: fc.oneof(fc.nat(9), oddNumber),
  daemon: fc.oneof(oddText, fc.anything()),
  life: oddNumber,
  address: fc.oneof(oddText, fc.anything()),
  beat: fc.nat(9),
  settled: fc.boolean(),
  resigned: fc.boolean(),
});

function anyRecordNamesAnAddress(
  parse: (value: unknown) => Pick<LeaderRecord, 'term' | 'address'> | null,
): AnyProperty {
  return fc.property(fc.oneof(oddRecord, fc.anything()), (value) => {
    const record = parse(value);
    return record === null || (isAddress(record.address) && Number.isSafeInteger(record.term + 1));
  }) as AnyProperty;
}

/** Believes what the record says, as the planted fault. */
function parseUnchecked(value: unknown): LeaderRecord | null {
  return typeof (value as LeaderRecord | undefined)?.address === 'string' ? (value as LeaderRecord) : null;
}

export const PEER_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: 'a frame of a peer is rejected or a message whose addresses are addresses',
    build: () => anyFrameHasAddressesOnly((bytes) => decodePeerMessage(bytes, 'peer').unwrapOr(null)),
    buildWithPlantedFault: () => anyFrameHasAddressesOnly(decodeUnchecked),
    shortRuns: 1_000,
  },
  {
    name: 'a stored leader record is rejected or names an address',
    build: () => anyRecordNamesAnAddress(parseLeaderRecord),
    buildWithPlantedFault: () => anyRecordNamesAnAddress(parseUnchecked),
    shortRuns: 500,
  },
  {
    name: 'a stored ownership table is read as one that covers each key once',
    build: () => anyTableIsSound((value) => readOwnershipRecord(value).table),
    buildWithPlantedFault: () => anyTableIsSound(readWithGaps),
    shortRuns: 500,
  },
];
