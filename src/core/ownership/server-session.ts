/**
 * What a shard leader knows of one server: its lease, and which units it may hold. Everything here errs
 * on the side of "it may still hold the unit". docs/design/leases.md gives the argument.
 */
import type { Epoch, Milliseconds, ServerId, UnitNumber } from '../identifiers.js';
import type { ControlReply } from '../server-control.js';

/** A unit that the server holds, or may come to hold through a grant that is on its way. */
export interface PossibleHolding {
  readonly epoch: Epoch;
  readonly acknowledged: boolean;
}

/** The server's own clock, and when the leader learned it. */
export interface ClockStamp {
  readonly clock: Milliseconds;
  readonly receivedAt: Milliseconds;
}

interface UnconfirmedStamp extends ClockStamp {
  /** Usable once a quorum has answered this heartbeat round. */
  readonly confirmingRound: number;
}

export interface ServerSession {
  readonly server: ServerId;
  /** 0 until the server has answered. */
  incarnation: number;
  unconfirmed: UnconfirmedStamp | null;
  stamp: ClockStamp | null;
  /** On the leader's clock: after this no lease that this or an earlier leader sent can be valid. */
  leaseBound: Milliseconds;
  /** Null: not known, anything is possible. */
  holdings: Map<UnitNumber, PossibleHolding> | null;
  /** The server's count of lapses as last seen. */
  lapseCount: number;
  wantInventory: boolean;
  sequence: number;
  /** When the call under way was sent, or null. */
  sentAt: Milliseconds | null;
  nextContactAt: Milliseconds;
  lastReplyAt: Milliseconds;
  /** The server says that it is leaving. */
  leaving: boolean;
}

/** A session of a leader that has just been elected. `leaseBound` covers what earlier leaders sent. */
export function createServerSession(
  server: ServerId,
  now: Milliseconds,
  leaseBound: Milliseconds,
): ServerSession {
  return {
    server,
    incarnation: 0,
    unconfirmed: null,
    stamp: null,
    leaseBound,
    holdings: null,
    lapseCount: 0,
    wantInventory: true,
    sequence: 0,
    sentAt: null,
    nextContactAt: now,
    lastReplyAt: Number.NEGATIVE_INFINITY,
    leaving: false,
  };
}

/** True when the server certainly does not hold the unit at any epoch, nor can come to hold it. */
export function certainlyNotHeld(session: ServerSession, unit: UnitNumber): boolean {
  return session.holdings !== null && !session.holdings.has(unit);
}

/** Every lease has run out: the server holds nothing, and every call sent so far is void. */
export function declareLapsed(session: ServerSession): void {
  session.holdings = new Map();
  session.stamp = null;
  session.unconfirmed = null;
  session.sentAt = null;
  session.wantInventory = true;
}

/** Makes a stamp usable once a quorum has confirmed the leader since the stamp came. */
export function confirmStamp(session: ServerSession, quorumRound: number, ruleHolds: boolean): void {
  const { unconfirmed } = session;
  if (unconfirmed === null) {
    return;
  }
  if (!ruleHolds || quorumRound >= unconfirmed.confirmingRound) {
    session.stamp = { clock: unconfirmed.clock, receivedAt: unconfirmed.receivedAt };
    session.unconfirmed = null;
  }
}

function restartSession(session: ServerSession, incarnation: number): void {
  session.incarnation = incarnation;
  session.lapseCount = 0;
  session.holdings = new Map();
  session.stamp = null;
  session.unconfirmed = null;
}

function dropAcknowledged(holdings: Map<UnitNumber, PossibleHolding>): void {
  for (const [unit, holding] of holdings) {
    if (holding.acknowledged) {
      holdings.delete(unit);
    }
  }
}

function takeInventory(session: ServerSession, reply: ControlReply): void {
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

/** What became of a reply: whether the server lost what it held, and which grants need a newer epoch. */
export interface ReplyOutcome {
  readonly lapsed: boolean;
  readonly staleUnits: readonly UnitNumber[];
}

/** Takes in the answer to the call under way. */
export function takeReply(
  session: ServerSession,
  reply: ControlReply,
  now: Milliseconds,
  heartbeatRound: number,
): ReplyOutcome {
  session.sentAt = null;
  session.lastReplyAt = now;
  session.leaving = reply.draining;
  const restarted = session.incarnation !== 0 && session.incarnation !== reply.serverIncarnation;
  if (restarted) {
    restartSession(session, reply.serverIncarnation);
  }
  session.incarnation = reply.serverIncarnation;
  session.unconfirmed ??= { clock: reply.clock, receivedAt: now, confirmingRound: heartbeatRound + 1 };
  if (reply.refusal !== null) {
    return { lapsed: restarted, staleUnits: [] };
  }
  const { holdings } = session;
  const lapsed = session.lapseCount !== reply.lapseCount;
  session.lapseCount = reply.lapseCount;
  if (holdings !== null) {
    if (lapsed) {
      dropAcknowledged(holdings);
    }
    for (const { unit, epoch } of reply.granted) {
      holdings.set(unit, { epoch, acknowledged: true });
    }
    for (const { unit } of [...reply.revoked, ...reply.staleGrants]) {
      holdings.delete(unit);
    }
  }
  takeInventory(session, reply);
  return { lapsed: restarted || lapsed, staleUnits: reply.staleGrants.map((grant) => grant.unit) };
}
