/** What a leader knows of one server's leases, and whether the server answers. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { Leadership, PendingCall, ServerLease } from './leadership-state.js';
import {
  LATE_ORDER,
  LATE_ORDER_MEMORY,
  LEASE,
  longestHold,
  SILENT_AFTER,
  SILENT_AFTER_LATE_ORDERS,
} from './ownership-timing.js';

/** The lease record of a server, made when it is first needed. */
export function leaseOf(leadership: Leadership, server: string): ServerLease {
  let lease = leadership.leases.get(server);
  if (lease === undefined) {
    lease = {
      holdsUntil: Number.NEGATIVE_INFINITY,
      unansweredGrantAt: Number.NEGATIVE_INFINITY,
      unansweredLease: 0,
      unanswered: 0,
      lastUnansweredAt: Number.NEGATIVE_INFINITY,
      nextProbeAt: 0,
      probeInFlight: false,
      silent: false,
      ended: false,
      heldByNobody: false,
      successor: null,
    };
    leadership.leases.set(server, lease);
  }
  return lease;
}

function lateOrdersExpected(leadership: Leadership, now: Milliseconds): boolean {
  return now - leadership.lateOrderSeenAt < LATE_ORDER_MEMORY;
}

/** After this time neither the server nor its successor holds anything by its grants, whether or not it answers. */
export function leaseEnd(leadership: Leadership, lease: ServerLease, now: Milliseconds): Milliseconds {
  if (lease.heldByNobody) {
    return Number.NEGATIVE_INFINITY;
  }
  const lateness = lateOrdersExpected(leadership, now) ? LATE_ORDER : 0;
  const unansweredEnd = lease.unansweredGrantAt + lateness + longestHold(lease.unansweredLease);
  return Math.max(leadership.formerLeasesEndAt, lease.holdsUntil, unansweredEnd);
}

/** The leader before has ended: it calls nobody any more. */
export function noteFormerEnded(leadership: Leadership, now: Milliseconds): void {
  leadership.formerCallsEndAt = Math.min(leadership.formerCallsEndAt, now);
  leadership.formerLeasesEndAt = Math.min(leadership.formerLeasesEndAt, now + longestHold(LEASE));
}

/** A grant goes out. */
export function noteGrantSent(lease: ServerLease, hold: Milliseconds, now: Milliseconds): void {
  lease.holdsUntil = Math.max(lease.holdsUntil, now + longestHold(hold));
}

/** A call was answered: the server is alive, and took the call at the latest now. */
export function noteAnswer(leadership: Leadership, call: PendingCall, now: Milliseconds): void {
  const lease = leaseOf(leadership, call.server);
  if (call.action === 'grant') {
    lease.holdsUntil = Math.max(lease.holdsUntil, now + longestHold(call.lease));
  }
  if (lease.unanswered > 0 && lease.lastUnansweredAt < call.sentAt) {
    // An earlier call is lost although the server answers a later one.
    leadership.lateOrderSeenAt = now;
  }
  lease.unanswered = 0;
  lease.silent = false;
}

/** A call has no answer. One that was sent may be carried out late. */
export function noteNoAnswer(
  leadership: Leadership,
  call: PendingCall,
  sent: boolean,
  now: Milliseconds,
): void {
  const lease = leaseOf(leadership, call.server);
  if (call.action === 'release') {
    // Its answer waits for the work on the keys: no answer says nothing of the server.
    return;
  }
  if (sent && call.action === 'grant') {
    lease.unansweredGrantAt = Math.max(lease.unansweredGrantAt, call.sentAt);
    lease.unansweredLease = Math.max(lease.unansweredLease, call.lease);
  }
  lease.unanswered += 1;
  lease.lastUnansweredAt = call.sentAt;
  const limit = lateOrdersExpected(leadership, now) ? SILENT_AFTER_LATE_ORDERS : SILENT_AFTER;
  lease.silent ||= lease.unanswered >= limit;
}

/** The server's process has ended: another one at its address refused a call that was meant for it. */
export function noteRefusedByOther(leadership: Leadership, server: ServerId): void {
  const lease = leaseOf(leadership, server);
  lease.ended = true;
  lease.silent = true;
  lease.heldByNobody = true;
}

/**
 * The server's process has ended: the list names another life at its address, or under its name. That one may have taken renewals that were
 * meant for this one, so that keys were held twice when they moved on at once; it is asked to release them first.
 */
export function noteSucceeded(leadership: Leadership, server: ServerId, successor: ServerId): void {
  const lease = leaseOf(leadership, server);
  lease.ended = true;
  lease.silent = true;
  lease.successor = successor;
}
