/**
 * Start of a leadership: determines until when earlier leaders may act, and adopts the units of the stored
 * table.
 */
import { RecentLimits } from '../limits/recent-limits.js';
import { PermitBuckets } from '../limits/permit-buckets.js';
import { BackOffReports } from '../notices/back-off-reports.js';
import type { Address } from '../model/address.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { sendHeartbeatSoon } from '../tree/heartbeats.js';
import type { Candidacy } from './election-state.js';
import { INITIAL_CONFIRMATION_RETRY_DELAY } from './leader-confirmation.js';
import { createLeaseLogState } from './lease-log.js';
import { leaseOf } from './server-lease.js';
import { recordServerList } from './server-succession.js';
import type { Leadership, UnitProgress } from './leadership-state.js';
import {
  GRANT_TIMEOUT,
  LEADERSHIP_VALIDITY,
  LEASE_DURATION,
  maxHoldTime,
  UNIT_MERGE_INTERVAL,
} from './ownership-timing.js';
import { RecentPeak } from './recent-peak.js';
import { isUnassigned, unitName, type OwnershipTable, type Unit } from './ownership-table.js';
import { formerCallsArriveUntil, resumedReleases } from './repeated-releases.js';
import type { UnconfirmedReleases } from './unconfirmed-releases.js';

/**
 * Time for which a peak of the number of daemons counts. Equal to the retry window, since what disconnected
 * daemons have spent counts until its end.
 */
const DAEMON_COUNT_MEMORY: Milliseconds = 10_000;

/** Starts to lead with the table that is in the store under the term of this daemon. */
export function beginLeadership(
  context: RouterContext,
  candidacy: Candidacy,
  table: OwnershipTable,
  tableRevision: number,
): void {
  const { state, now } = context;
  state.election.candidacy = null;
  state.counters.leaderships_won += 1;
  const formerCallsEndAt = formerLeaderCallsEnd(context, candidacy, table);
  const unconfirmedReleases = resumedReleases(context, table);
  const leadership: Leadership = {
    term: candidacy.claim.term,
    leaderRevision: candidacy.revision,
    beat: 0,
    confirmedAt: candidacy.confirmedAt,
    confirmationInFlight: false,
    nextConfirmationAt: now,
    confirmationRetryDelay: INITIAL_CONFIRMATION_RETRY_DELAY,
    table,
    tableRevision,
    pendingWrite: null,
    startedAt: now,
    formerLeaderCallsEndAt: formerCallsEndAt,
    formerCallsArriveUntil: formerCallsArriveUntil(table, now),
    formerLeaderLeasesEndAt: isUnassigned(table) ? now : formerCallsEndAt + maxHoldTime(LEASE_DURATION),
    former: candidacy.former?.settled === true ? candidacy.former : null,
    unitProgress: new Map(table.units.map((unit) => [unitName(unit), resumedProgress(unit, now)])),
    leases: new Map(),
    unreachedServers: new Set(),
    pendingCalls: new Map(),
    unconfirmedReleases,
    repeatedReleases: new Map(),
    hasGrantBacklog: false,
    addresses: knownAddresses(unconfirmedReleases),
    successors: new Map(),
    rests: new BackOffReports(),
    permitBuckets: new PermitBuckets(),
    recentLimits: new RecentLimits(),
    limitProbedAt: new Map(),
    keyLoad: new Map(),
    serviceTimeEstimators: new Map(),
    answeredAt: new Map(),
    lateCallSeenAt: Number.NEGATIVE_INFINITY,
    plannedAt: now,
    nextPlanAt: now,
    nextMergeAt: now + UNIT_MERGE_INTERVAL,
    nextReportAggregationAt: now,
    daemonCount: new RecentPeak(DAEMON_COUNT_MEMORY, state.ownershipView.term > 0 ? state.daemons : 1, now),
    viewStep: 0,
    viewChanged: true,
    nextBroadcastAt: now,
    leaseLog: createLeaseLogState(),
  };
  state.leadership = leadership;
  table.units.forEach(({ owner }) => (leaseOf(leadership, owner).wasReached = true));
  recordServerList(context, leadership);
  sendHeartbeatSoon(context);
  const { term } = leadership;
  const waitsFor = Math.max(0, Math.round(leadership.formerLeaderLeasesEndAt - now));
  context.log('leadership_won', {
    term,
    units: table.units.length,
    revision: tableRevision,
    waits_for: waitsFor,
    unconfirmed_releases: unconfirmedReleases.length,
  });
}

function knownAddresses(releases: UnconfirmedReleases): Map<ServerId, Address> {
  const addresses = new Map<ServerId, Address>();
  for (const { server, address } of releases) {
    if (address !== null) {
      addresses.set(server, address);
    }
  }
  return addresses;
}

/** Returns the time after which no grant of an earlier leader arrives at a server, other than those that a network failure holds up. */
function formerLeaderCallsEnd(
  context: RouterContext,
  candidacy: Candidacy,
  table: OwnershipTable,
): Milliseconds {
  if (isUnassigned(table)) {
    return context.now;
  }
  if (candidacy.hasPredecessorEnded) {
    return context.state.election.startedAt;
  }
  // The previous leader began its last write before this daemon first saw the revision of that write, and its
  // last grant may arrive until that call times out.
  return Math.max(context.now, candidacy.formerRevisionSeenAt + LEADERSHIP_VALIDITY + GRANT_TIMEOUT);
}

/**
 * Returns the progress of a unit in the table that a new leader finds. The owner may hold the unit, which is
 * renewed at once.
 */
function resumedProgress(unit: Unit, now: Milliseconds): UnitProgress {
  return {
    phase: unit.releasing === null ? 'held' : 'releasing',
    fence: unit.fence,
    ownerMayHold: true,
    isFenceRefused: false,
    handover: null,
    nextCallAt: now,
    callsInFlight: 0,
    grantedAt: null,
  };
}
