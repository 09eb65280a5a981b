/**
 * Repeats the releases that former owners have not confirmed. The kernel of a machine goes on sending what a process has written after the
 * process has ended, so that a grant of a former leader may reach a server as soon as a network failure is over, however long it lasted.
 * The server must hear of the higher fence before that, by a new connection: TCP repeats the first packet of one only after a second.
 */
import type { ControlOutcome } from '../events.js';
import type { Address } from '../model/address.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { recordServerHeard } from '../reachability/path-checks.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, PendingRelease } from './leadership-state.js';
import { isUnassigned, unitName, type OwnershipTable } from './ownership-table.js';
import { leaseOf } from './server-lease.js';
import { addressOf, recordOtherInstance, successorOf } from './server-succession.js';
import {
  overlaps,
  withinLimit,
  withNewReleases,
  withoutSeenFence,
  type UnconfirmedRelease,
  type UnconfirmedReleases,
} from './unconfirmed-releases.js';
import { healthPathOf, probeServer } from './unit-calls.js';

/** Interval between two calls to a server, well below the time that a server may need to hear of a fence after a network failure. */
const REPEAT_INTERVAL: Milliseconds = 150;
const REPEAT_TIMEOUT: Milliseconds = 250;
/** Bounds the rate of calls when many servers are out of reach. */
const MAX_SERVERS_PER_TICK = 4;
const NO_RELEASES: UnconfirmedReleases = [];
/** After this long the kernel of a former leader's machine has given up on calls: Linux by default retries for 924 s. */
const HELD_UP_CALL_LIFETIME: Milliseconds = 16 * 60_000;

/** Returns until when calls of former leaders may arrive at servers. */
export function formerCallsArriveUntil(table: OwnershipTable, now: Milliseconds): Milliseconds {
  return isUnassigned(table) ? now : now + HELD_UP_CALL_LIFETIME;
}

/** Returns the releases that a new leader must repeat: those that are stored, and those that the table has begun. */
export function resumedReleases({ state }: RouterContext, table: OwnershipTable): UnconfirmedReleases {
  const stored = table.unconfirmedReleases;
  const storedAddress = (server: ServerId): Address | undefined =>
    stored.find((release) => release.server === server)?.address ?? undefined;
  return withNewReleases(
    stored,
    { ...table, units: [] },
    table,
    (server) => state.servers.get(server)?.server.address ?? storedAddress(server),
  );
}

/** Begins the releases that a new table asks former owners for. Returns the table with all unconfirmed ones, as it is to be stored. */
export function beginReleases(
  context: RouterContext,
  leadership: Leadership,
  table: OwnershipTable,
): OwnershipTable {
  if (context.now < leadership.formerCallsArriveUntil) {
    const releases = withNewReleases(leadership.unconfirmedReleases, leadership.table, table, (server) =>
      addressOf(context, leadership, server),
    );
    leadership.unconfirmedReleases = withinLimit(releases);
    const dropped = releases.length - leadership.unconfirmedReleases.length;
    if (dropped > 0) {
      context.log('unconfirmed_releases_dropped', { releases: dropped }, 'warn');
    }
  }
  return { ...table, unconfirmedReleases: leadership.unconfirmedReleases };
}

/** Returns whether the server has a release to confirm. */
export function hasUnconfirmedRelease({ unconfirmedReleases }: Leadership, server: ServerId): boolean {
  return unconfirmedReleases.some((release) => release.server === server);
}

/** Records that the server at an address has accepted a call with a fence for a range of keys. */
export function recordFenceSeen(
  leadership: Leadership,
  { address, range, fence }: Pick<PendingRelease, 'address' | 'range' | 'fence'>,
): void {
  const matches = ({ server, address: known }: UnconfirmedRelease): boolean =>
    (leadership.addresses.get(server) ?? known) === address;
  leadership.unconfirmedReleases = withoutSeenFence(leadership.unconfirmedReleases, matches, range, fence);
}

/** Sends the releases that are due, the earliest due first. */
export function tickRepeatedReleases(context: RouterContext, leadership: Leadership): void {
  if (leadership.unconfirmedReleases.length === 0) {
    return;
  }
  if (context.now >= leadership.formerCallsArriveUntil) {
    leadership.unconfirmedReleases = NO_RELEASES;
    return;
  }
  const servers = new Set(leadership.unconfirmedReleases.map(({ server }) => server));
  const due = [...servers].filter((server) => leaseOf(leadership, server).nextRepeatAt <= context.now);
  due.sort((left, right) => leaseOf(leadership, left).nextRepeatAt - leaseOf(leadership, right).nextRepeatAt);
  due.slice(0, MAX_SERVERS_PER_TICK).forEach((server) => repeatReleases(context, leadership, server));
}

function repeatReleases(context: RouterContext, leadership: Leadership, server: ServerId): void {
  leaseOf(leadership, server).nextRepeatAt = context.now + REPEAT_INTERVAL;
  const releases = leadership.unconfirmedReleases.filter(
    (release) => release.server === server && !isSettledByOtherCalls(leadership, release),
  );
  const ownsUnits = leadership.table.units.some(({ owner }) => owner === server);
  // A server without units can be told of all of its keys at once: no fence below that of the call is in use there.
  (ownsUnits ? releases : combineByService(releases)).forEach((release) =>
    sendRelease(context, leadership, release),
  );
}

/** Returns whether calls for units tell the server of the fence: it is being asked for the release, or owns some of the keys again. */
function isSettledByOtherCalls(leadership: Leadership, release: UnconfirmedRelease): boolean {
  const { server } = release;
  const isAsked = leaseOf(leadership, server).unanswered === 0;
  return leadership.table.units.some((unit) => {
    const isReleasing = leadership.unitProgress.get(unitName(unit))?.phase === 'releasing';
    const isAskedForIt = isAsked && isReleasing && unit.releasing === server;
    return overlaps(unit, release) && (unit.owner === server || isAskedForIt);
  });
}

/** Combines the releases of each service into one of the highest fence. */
function combineByService(releases: UnconfirmedReleases): UnconfirmedReleases {
  const combined = new Map<string, UnconfirmedRelease>();
  for (const release of releases) {
    const { service, from, to, fence } = combined.get(release.service) ?? release;
    combined.set(service, {
      ...release,
      from: Math.min(from, release.from),
      to: Math.max(to, release.to),
      fence: Math.max(fence, release.fence),
    });
  }
  return [...combined.values()];
}

function sendRelease(context: RouterContext, leadership: Leadership, release: UnconfirmedRelease): void {
  const { server: former, service, from, to, fence } = release;
  const { ended } = leaseOf(leadership, former);
  const server = ended ? successorOf(context, leadership, former) : former;
  const address = addressOf(context, leadership, former);
  if (server === undefined || address === undefined) {
    // A probe learns which server listens at the address of one that has ended.
    probeServer(context, leadership, release, former);
    return;
  }
  context.state.counters.repeated_releases += 1;
  const callId = context.callServer({
    action: 'release',
    server,
    address,
    from,
    to,
    fence,
    hold: 0,
    handover: null,
    timeout: REPEAT_TIMEOUT,
    healthPath: healthPathOf(context, service),
  });
  leadership.repeatedReleases.set(callId, { server, former, address, range: { service, from, to }, fence });
}

/** Handles the end of a repeated release. */
export function receiveRepeatedReleaseEnded(
  context: RouterContext,
  leadership: Leadership,
  call: PendingRelease,
  outcome: ControlOutcome,
): void {
  if (outcome.kind === 'otherInstance') {
    recordOtherInstance(context, leadership, call, outcome.instance);
  } else if (outcome.kind === 'rejected' && call.server !== call.former) {
    // The former owner has ended, and a server of another service listens at its address.
    dropReleases(leadership, call.former);
  } else if (outcome.kind === 'accepted') {
    const known = context.state.servers.get(call.server);
    if (known !== undefined) {
      recordServerHeard(context, known);
    }
    recordFenceSeen(leadership, call);
    finishReleases(context, leadership, call);
    const { server, former, address, fence, range } = call;
    context.log('release_confirmed', { server, former, address, fence, keys: unitName(range) });
  }
}

function dropReleases(leadership: Leadership, former: ServerId): void {
  leadership.unconfirmedReleases = leadership.unconfirmedReleases.filter(({ server }) => server !== former);
}

/** Lets the units be granted whose release was being waited for. */
function finishReleases(context: RouterContext, leadership: Leadership, call: PendingRelease): void {
  const { range, fence, former } = call;
  for (const unit of leadership.table.units) {
    const progress = leadership.unitProgress.get(unitName(unit));
    const isCovered = unit.service === range.service && unit.from >= range.from && unit.to <= range.to;
    const isReleased = unit.releasing === former && unit.fence - 1 <= fence && isCovered;
    if (progress?.phase === 'releasing' && isReleased) {
      progress.phase = 'granting';
      progress.nextCallAt = context.now;
      context.log('unit_released', { unit: unitName(unit), fence: unit.fence, former });
    }
  }
}
