/**
 * A shard leader's view of one server: its lease, and the units that it may hold. When uncertain, the session
 * assumes that the server may still hold a unit. docs/design/leases.md gives the argument.
 */
import type { Epoch, Milliseconds, ServerId, UnitNumber } from '../identifiers.js';
import type { ControlReply } from '../server-control.js';

/** A unit that the server holds (acknowledged), or may come to hold through a grant in flight. */
export interface PossibleHolding {
  readonly epoch: Epoch;
  readonly acknowledged: boolean;
}

/** A reading of the server's clock, and when the leader received it. */
export interface ClockStamp {
  readonly clock: Milliseconds;
  readonly receivedAt: Milliseconds;
}

interface UnconfirmedStamp extends ClockStamp {
  /** The stamp may be used once a quorum has acknowledged this heartbeat round. */
  readonly confirmingRound: number;
}

export interface ServerSession {
  readonly server: ServerId;
  /** Incarnation of the server, or 0 until it has replied. */
  incarnation: number;
  unconfirmedStamp: UnconfirmedStamp | null;
  stamp: ClockStamp | null;
  /** Time on the leader's clock after which no lease from this leader or an earlier one can be valid. */
  leaseExpiryBound: Milliseconds;
  /** Units that the server may hold, or null when unknown: it may then hold any unit. */
  holdings: Map<UnitNumber, PossibleHolding> | null;
  /** Number of expired leases that the server last reported. */
  lapseCount: number;
  wantInventory: boolean;
  sequence: number;
  /** When the call in progress was sent, or null. */
  callSentAt: Milliseconds | null;
  nextCallAt: Milliseconds;
  lastReplyAt: Milliseconds;
  /** The server announced in its last reply that it is draining. */
  draining: boolean;
}

/** Creates a session. `leaseExpiryBound` must cover the leases that earlier leaders granted. */
export function createServerSession(
  server: ServerId,
  now: Milliseconds,
  leaseExpiryBound: Milliseconds,
): ServerSession {
  return {
    server,
    incarnation: 0,
    unconfirmedStamp: null,
    stamp: null,
    leaseExpiryBound: leaseExpiryBound,
    holdings: null,
    lapseCount: 0,
    wantInventory: true,
    sequence: 0,
    callSentAt: null,
    nextCallAt: now,
    lastReplyAt: Number.NEGATIVE_INFINITY,
    draining: false,
  };
}

/**
 * Returns whether it is proven that the server does not hold the unit at any epoch and no grant in flight can
 * change that.
 */
export function isProvenNotHeld(session: ServerSession, unit: UnitNumber): boolean {
  return session.holdings !== null && !session.holdings.has(unit);
}

/**
 * Records that every lease has expired: the server holds no unit, and calls sent so far can no longer grant
 * one.
 */
export function recordLeasesExpired(session: ServerSession): void {
  session.holdings = new Map();
  session.stamp = null;
  session.unconfirmedStamp = null;
  session.callSentAt = null;
  session.wantInventory = true;
}

/** Makes a clock stamp usable once a quorum has confirmed the leader after the stamp was received. */
export function confirmStamp(session: ServerSession, quorumRound: number, requireQuorum: boolean): void {
  const { unconfirmedStamp } = session;
  if (unconfirmedStamp === null) {
    return;
  }
  if (!requireQuorum || quorumRound >= unconfirmedStamp.confirmingRound) {
    session.stamp = { clock: unconfirmedStamp.clock, receivedAt: unconfirmedStamp.receivedAt };
    session.unconfirmedStamp = null;
  }
}

function resetForRestartedServer(session: ServerSession, incarnation: number): void {
  session.incarnation = incarnation;
  session.lapseCount = 0;
  session.holdings = new Map();
  session.stamp = null;
  session.unconfirmedStamp = null;
}

function dropAcknowledged(holdings: Map<UnitNumber, PossibleHolding>): void {
  for (const [unit, holding] of holdings) {
    if (holding.acknowledged) {
      holdings.delete(unit);
    }
  }
}

function mergeInventory(session: ServerSession, reply: ControlReply): void {
  if (reply.inventory === null) {
    return;
  }
  const holdings = new Map<UnitNumber, PossibleHolding>();
  for (const [unit, holding] of session.holdings ?? []) {
    if (!holding.acknowledged) {
      holdings.set(unit, holding);
    }
  }
  for (const { unit, epoch } of reply.inventory) {
    holdings.set(unit, { epoch, acknowledged: true });
  }
  session.holdings = holdings;
  session.wantInventory = false;
}

/**
 * Consequences of a reply: whether the server lost the units that it held, and which grants need a newer
 * epoch.
 */
export interface ReplyOutcome {
  readonly holdingsLost: boolean;
  readonly staleUnits: readonly UnitNumber[];
}

/** Updates the session from the reply to the call in progress. */
export function applyReply(
  session: ServerSession,
  reply: ControlReply,
  now: Milliseconds,
  heartbeatRound: number,
): ReplyOutcome {
  session.callSentAt = null;
  session.lastReplyAt = now;
  session.draining = reply.draining;
  const restarted = session.incarnation !== 0 && session.incarnation !== reply.serverIncarnation;
  if (restarted) {
    resetForRestartedServer(session, reply.serverIncarnation);
  }
  session.incarnation = reply.serverIncarnation;
  session.unconfirmedStamp ??= { clock: reply.clock, receivedAt: now, confirmingRound: heartbeatRound + 1 };
  if (reply.refusal !== null) {
    return { holdingsLost: restarted, staleUnits: [] };
  }
  const { holdings } = session;
  const leaseLapsed = session.lapseCount !== reply.lapseCount;
  session.lapseCount = reply.lapseCount;
  if (holdings !== null) {
    if (leaseLapsed) {
      dropAcknowledged(holdings);
    }
    for (const { unit, epoch } of reply.granted) {
      holdings.set(unit, { epoch, acknowledged: true });
    }
    for (const { unit } of [...reply.revoked, ...reply.staleGrants]) {
      holdings.delete(unit);
    }
  }
  mergeInventory(session, reply);
  return { holdingsLost: restarted || leaseLapsed, staleUnits: reply.staleGrants.map((grant) => grant.unit) };
}
