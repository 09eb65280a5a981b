/** What the leader knows about the leases of one server, and whether the server answers calls. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { Leadership, PendingCall, ServerLease } from './leadership-state.js';
import {
  LATE_CALL_DELAY,
  LATE_CALL_MEMORY,
  LEASE_DURATION,
  maxHoldTime,
  UNANSWERED_CALL_LIMIT,
  UNANSWERED_CALL_LIMIT_WITH_LATE_CALLS,
} from './ownership-timing.js';

/** Returns the lease state of a server, created on first use. */
export function leaseOf(leadership: Leadership, server: string): ServerLease {
  let lease = leadership.leases.get(server);
  if (lease === undefined) {
    lease = {
      holdsUntil: Number.NEGATIVE_INFINITY,
      grantsInProgress: 0,
      unansweredGrantEndedAt: Number.NEGATIVE_INFINITY,
      unansweredLeaseDuration: 0,
      unanswered: 0,
      unansweredSince: Number.NEGATIVE_INFINITY,
      silentSince: Number.POSITIVE_INFINITY,
      lastUnansweredAt: Number.NEGATIVE_INFINITY,
      nextProbeAt: 0,
      probeInFlight: false,
      nextRepeatAt: Number.NEGATIVE_INFINITY,
      unresponsive: false,
      unresponsiveSince: Number.NEGATIVE_INFINITY,
      ended: false,
      wasReached: false,
    };
    leadership.leases.set(server, lease);
  }
  return lease;
}

function areLateCallsExpected(leadership: Leadership, now: Milliseconds): boolean {
  return now - leadership.lateCallSeenAt < LATE_CALL_MEMORY;
}

/**
 * Returns the time after which neither the server nor its successor holds any key under its grants, whether
 * or not it answers.
 */
export function leaseEnd(leadership: Leadership, lease: ServerLease, now: Milliseconds): Milliseconds {
  if (lease.grantsInProgress > 0) {
    // The server counts its lease from the arrival, which may be as late as the end of the call.
    return Number.POSITIVE_INFINITY;
  }
  const lateExecutionDelay = areLateCallsExpected(leadership, now) ? LATE_CALL_DELAY : 0;
  const unansweredEnd =
    lease.unansweredGrantEndedAt + lateExecutionDelay + maxHoldTime(lease.unansweredLeaseDuration);
  return Math.max(leadership.formerLeaderLeasesEndAt, lease.holdsUntil, unansweredEnd);
}

/**
 * Records that the former leader has ended and sends no further calls. Calls that a network failure holds up may arrive at any later time:
 * repeated releases make the servers reject them.
 */
export function recordFormerLeaderEnded(leadership: Leadership, now: Milliseconds): void {
  leadership.formerLeaderCallsEndAt = Math.min(leadership.formerLeaderCallsEndAt, now);
  leadership.formerLeaderLeasesEndAt = Math.min(
    leadership.formerLeaderLeasesEndAt,
    now + maxHoldTime(LEASE_DURATION),
  );
}

/** Records that a grant was sent, after which the server may hold keys until the lease ends. */
export function recordGrantSent(lease: ServerLease, duration: Milliseconds, now: Milliseconds): void {
  lease.grantsInProgress += 1;
  lease.holdsUntil = Math.max(lease.holdsUntil, now + maxHoldTime(duration));
}

/** Records that a call is no longer in progress. */
export function recordCallEnded(leadership: Leadership, { action, server }: PendingCall): void {
  if (action === 'grant') {
    leaseOf(leadership, server).grantsInProgress -= 1;
  }
}

/** Records an answered call: the server at the address executed it no later than now. */
export function recordAnswer(leadership: Leadership, call: PendingCall, now: Milliseconds): void {
  const lease = leaseOf(leadership, call.server);
  if (call.action === 'grant') {
    lease.holdsUntil = Math.max(lease.holdsUntil, now + maxHoldTime(call.leaseDuration));
  }
  if (lease.unanswered > 0 && lease.lastUnansweredAt < call.sentAt) {
    // The server answers a later call but left an earlier one unanswered, which may still be executed.
    leadership.lateCallSeenAt = now;
  }
  lease.wasReached = true;
  lease.unanswered = 0;
  // The answer of a server that has ended came from the next one at its address.
  lease.unresponsive = lease.ended;
}

/** Records that a call got no answer. A call that was sent may have arrived at any time until now, or may still be executed late. */
export function recordUnansweredCall(
  leadership: Leadership,
  call: PendingCall,
  wasSent: boolean,
  now: Milliseconds,
): void {
  const lease = leaseOf(leadership, call.server);
  if (call.action === 'release') {
    // A server answers a release only after its requests for the keys have ended, so a missing answer does
    // not show that the server is unresponsive.
    return;
  }
  if (wasSent && call.action === 'grant') {
    lease.unansweredGrantEndedAt = Math.max(lease.unansweredGrantEndedAt, now);
    lease.unansweredLeaseDuration = Math.max(lease.unansweredLeaseDuration, call.leaseDuration);
  }
  if (lease.unanswered === 0) {
    lease.unansweredSince = call.sentAt;
  } else if (lease.unanswered === 1) {
    lease.silentSince = call.sentAt;
  }
  lease.unanswered += 1;
  lease.lastUnansweredAt = call.sentAt;
}

/** Returns whether a server has left so many calls unanswered that they are no accident. */
export function isSilent(leadership: Leadership, lease: ServerLease, now: Milliseconds): boolean {
  const limit = areLateCallsExpected(leadership, now)
    ? UNANSWERED_CALL_LIMIT_WITH_LATE_CALLS
    : UNANSWERED_CALL_LIMIT;
  return lease.unanswered >= limit;
}

/**
 * Records that the server's process has ended. Its leases run on: the next server at its address may have accepted renewals that were
 * meant for it, and may still accept those in flight.
 */
export function recordEnded(leadership: Leadership, server: ServerId): void {
  const lease = leaseOf(leadership, server);
  lease.ended = true;
  lease.unresponsive = true;
}
