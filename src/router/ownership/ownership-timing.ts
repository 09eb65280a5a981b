/**
 * Timing constants of leadership, leases and calls to servers. docs/design/ownership.md states the
 * inequalities that they must satisfy.
 */
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Interval at which the leader rewrites its record in the store. Each successful write confirms its
 * leadership.
 */
export const LEADERSHIP_CONFIRMATION_INTERVAL: Milliseconds = 1_000;
/** A leader calls no server if the write that last confirmed its leadership began longer ago than this. */
export const LEADERSHIP_VALIDITY: Milliseconds = 5_000;
/**
 * Duration of a lease. Short, so that the keys of a lost server can be reassigned soon; LEADERSHIP_VALIDITY
 * bridges outages of the store.
 */
export const LEASE_DURATION: Milliseconds = 2_500;
/** Interval between two lease renewals of a unit. */
export const LEASE_RENEWAL_INTERVAL: Milliseconds = 850;
/** Timeout of a grant or renewal, which is retried afterwards. */
export const GRANT_TIMEOUT: Milliseconds = 300;
/** Timeout of a probe, which waits for a free slot of the server as a request does. */
export const PROBE_TIMEOUT: Milliseconds = 450;
/** Timeout of a release, which a server answers only after its requests for the released keys have ended. */
export const RELEASE_TIMEOUT: Milliseconds = 1_500;
export const RELEASE_RETRY_INTERVAL: Milliseconds = 400;
/** A server's clock may run slow by this share while it times a lease. */
export const MAX_CLOCK_DRIFT_RATIO = 0.02;
/** Covers the network delay of a call and the resolution of timers. */
export const LEASE_MARGIN: Milliseconds = 150;
/** A server may still execute an unanswered call this long after the leader gave it up. */
export const LATE_CALL_DELAY: Milliseconds = 12_300;
/** Late execution of calls is expected for this long after a sign of it was seen. */
export const LATE_CALL_MEMORY: Milliseconds = 15_000;
/** Interval between two probes of a server that left a call unanswered. */
export const PROBE_INTERVAL: Milliseconds = 150;
/**
 * Consecutive unanswered calls after which a server counts as unresponsive. The second, higher limit applies
 * while late execution of calls is expected.
 */
export const UNANSWERED_CALL_LIMIT = 3;
export const UNANSWERED_CALL_LIMIT_WITH_LATE_CALLS = 8;
/** Interval between two runs of the assignment plan. */
export const PLAN_INTERVAL: Milliseconds = 500;
/** Interval between two searches for units that can be merged. */
export const UNIT_MERGE_INTERVAL: Milliseconds = 3_000;
/** Shortest time before the first assignment, during which servers can become known. */
export const FIRST_ASSIGNMENT_MIN_WAIT: Milliseconds = 1_000;
/**
 * While no keys are requested, the first assignment waits until no new server has become known for this long.
 */
export const FIRST_ASSIGNMENT_QUIET_PERIOD: Milliseconds = 1_000;
/** Longest time that the first assignment waits for servers that keep becoming known. */
export const FIRST_ASSIGNMENT_MAX_WAIT: Milliseconds = 6_000;
export const HEARTBEAT_INTERVAL: Milliseconds = 250;
/** A follower reads the leader record in the store after this long without a heartbeat. */
export const HEARTBEAT_TIMEOUT: Milliseconds = 700;
/** A follower takes over when the leader has not confirmed its leadership in the store for this long. */
export const TAKEOVER_TIMEOUT: Milliseconds = 1_400;
export const LEADER_RECORD_READ_INTERVAL: Milliseconds = 300;
export const REPORT_INTERVAL: Milliseconds = 500;

/** Returns the longest time for which a server may hold keys after a grant with this lease arrived. */
export function maxHoldTime(lease: Milliseconds): Milliseconds {
  return lease * (1 + MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN;
}
