/**
 * Releases that former owners of keys have not confirmed. A former owner that has not seen a higher fence accepts a grant that a network
 * failure held up, even if other servers own the keys by then. The list is stored with the ownership table: the next leader needs it, too.
 */
import type { Address } from '../model/address.js';
import type { Fence, ServerId } from '../model/identifiers.js';
import type { OwnershipTable, Unit, UnitRange } from './ownership-table.js';

/** Limit on the entries of the list, which bounds the stored table. */
const MAX_UNCONFIRMED_RELEASES = 512;

/** A release of keys that the former owner has not confirmed. */
export interface UnconfirmedRelease extends UnitRange {
  /** The former owner. */
  readonly server: ServerId;
  /** The address of the former owner; null: it is not known. */
  readonly address: Address | null;
  /** Fencing token of the release, above every fence under which the former owner was granted the keys. */
  readonly fence: Fence;
}

export type UnconfirmedReleases = readonly UnconfirmedRelease[];

/** Returns whether two ranges have keys of one service in common. */
export function overlaps(left: UnitRange, right: UnitRange): boolean {
  return left.service === right.service && left.from <= right.to && right.from <= left.to;
}

function covers(outer: UnitRange, inner: UnitRange): boolean {
  return outer.service === inner.service && outer.from <= inner.from && outer.to >= inner.to;
}

/** Returns the parts of a release that lie outside a range. */
function partsOutside(release: UnconfirmedRelease, { from, to }: UnitRange): UnconfirmedRelease[] {
  const parts = [
    { ...release, to: Math.min(release.to, from - 1) },
    { ...release, from: Math.max(release.from, to + 1) },
  ];
  return parts.filter((part) => part.from <= part.to);
}

/** Returns the list without the keys for which the servers that match have seen a fence as high as that of the release. */
export function withoutSeenFence(
  releases: UnconfirmedReleases,
  matches: (release: UnconfirmedRelease) => boolean,
  range: UnitRange,
  fence: Fence,
): UnconfirmedReleases {
  const isSeen = (release: UnconfirmedRelease): boolean =>
    release.fence <= fence && overlaps(release, range) && matches(release);
  if (!releases.some(isSeen)) {
    return releases;
  }
  return releases.flatMap((release) => (isSeen(release) ? partsOutside(release, range) : [release]));
}

function addRelease(releases: UnconfirmedReleases, added: UnconfirmedRelease): UnconfirmedReleases {
  const isSameServer = ({ server }: UnconfirmedRelease): boolean => server === added.server;
  return [...withoutSeenFence(releases, isSameServer, added, added.fence), added];
}

function isReleasedIn(table: OwnershipTable, unit: Unit): boolean {
  return table.units.some(
    (known) => known.fence === unit.fence && known.releasing === unit.releasing && covers(known, unit),
  );
}

/**
 * Returns the list with the releases that a new table begins.
 *
 * @param before the table before it
 * @param addressOf returns the address of a server, if it is known
 */
export function withNewReleases(
  releases: UnconfirmedReleases,
  before: OwnershipTable,
  table: OwnershipTable,
  addressOf: (server: ServerId) => Address | undefined,
): UnconfirmedReleases {
  let result = releases;
  for (const unit of table.units) {
    const { service, from, to, releasing, fence } = unit;
    if (releasing !== null && !isReleasedIn(before, unit)) {
      const address = addressOf(releasing) ?? null;
      result = addRelease(result, { server: releasing, address, service, from, to, fence: fence - 1 });
    }
  }
  return result;
}

/** Returns the list without the oldest entries beyond the limit. */
export function withinLimit(releases: UnconfirmedReleases): UnconfirmedReleases {
  if (releases.length <= MAX_UNCONFIRMED_RELEASES) {
    return releases;
  }
  return [...releases]
    .sort((left, right) => left.fence - right.fence)
    .slice(releases.length - MAX_UNCONFIRMED_RELEASES);
}
