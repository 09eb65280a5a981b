/**
 * Timing constants of leadership, leases and calls to servers. docs/design/ownership.md states the
 * inequalities that they must satisfy.
 */
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Interval at which the leader rewrites its record in the store. Each successful write confirms its
 * leadership.
 */
export const CONFIRMATION_INTERVAL: Milliseconds = 1_000;
/** A leader calls no server if the write that last confirmed its leadership began longer ago than this. */
export const CONFIRMATION_VALIDITY: Milliseconds = 5_000;
/**
 * Duration of a lease. Short, so that the keys of a lost server can be reassigned soon; LEADERSHIP_VALIDITY
 * bridges outages of the store.
 */
export const LEASE: Milliseconds = 2_500;
/** Interval between two lease renewals of a unit. */
export const RENEWAL_INTERVAL: Milliseconds = 850;
/** Timeout of a grant or renewal, which is retried afterwards. */
export const CONTROL_PATIENCE: Milliseconds = 300;
/** Timeout of a probe, which waits for a free slot of the server as a request does. */
export const PROBE_PATIENCE: Milliseconds = 450;
/** Timeout of a release, which a server answers only after its requests for the released keys have ended. */
export const RELEASE_PATIENCE: Milliseconds = 1_500;
export const RELEASE_REPEAT: Milliseconds = 400;
/** A server's clock may run slow by this share while it times a lease. */
export const CLOCK_DRIFT = 0.02;
/** Covers the network delay of a call and the resolution of timers. */
export const LEASE_MARGIN: Milliseconds = 150;
/** A server may still execute an unanswered call this long after it was sent. */
export const LATE_ORDER: Milliseconds = 12_300;
/** Late execution of calls is expected for this long after a sign of it was seen. */
export const LATE_ORDER_MEMORY: Milliseconds = 15_000;
/** Interval between two probes of a server that left a call unanswered. */
export const PROBE_INTERVAL: Milliseconds = 150;
/**
 * Consecutive unanswered calls after which a server counts as unresponsive. The second, higher limit applies
 * while late execution of calls is expected.
 */
export const SILENT_AFTER = 3;
export const SILENT_AFTER_LATE_ORDERS = 8;
/** Interval between two runs of the assignment plan. */
export const PLAN_INTERVAL: Milliseconds = 500;
/** Interval between two searches for units that can be merged. */
export const JOIN_INTERVAL: Milliseconds = 3_000;
/** Shortest time before the first assignment, during which servers can become known. */
export const FIRST_ASSIGNMENT_WAIT: Milliseconds = 1_000;
/**
 * While no keys are requested, the first assignment waits until no new server has become known for this long.
 */
export const FIRST_ASSIGNMENT_QUIET: Milliseconds = 1_000;
/** Longest time that the first assignment waits for servers that keep becoming known. */
export const FIRST_ASSIGNMENT_LONGEST_WAIT: Milliseconds = 6_000;
export const HEARTBEAT_INTERVAL: Milliseconds = 250;
/** A follower reads the leader record in the store after this long without a heartbeat. */
export const HEARTBEAT_PATIENCE: Milliseconds = 700;
/** A follower takes over when the leader has not confirmed its leadership in the store for this long. */
export const TAKEOVER_PATIENCE: Milliseconds = 1_400;
export const ELECTION_READ_INTERVAL: Milliseconds = 300;
export const REPORT_INTERVAL: Milliseconds = 500;

/** Returns the longest time for which a server may hold keys after a grant with this lease arrived. */
export function longestHold(lease: Milliseconds): Milliseconds {
  return lease * (1 + CLOCK_DRIFT) + LEASE_MARGIN;
}
