/**
 * Control calls of a shard leader to servers, and the handling of their replies.
 */
import type { ReducerContext } from '../context.js';
import type { UnitNumber } from '../identifiers.js';
import type { ControlReply, ControlRequest, UnitEpoch } from '../server-control.js';
import type { ServerSession } from './server-session.js';
import { applyReply } from './server-session.js';
import type { ShardLeadership } from './shard-leadership.js';

const MAXIMUM_GRANTS_PER_CALL = 1_024;
/**
 * Maximum age of a clock stamp, as a fraction of the lease; an older stamp would renew the lease for too
 * short a time.
 */
const MAXIMUM_STAMP_AGE_FRACTION = 0.8;

function pendingGrants(leadership: ShardLeadership, session: ServerSession): UnitEpoch[] {
  const { holdings } = session;
  if (holdings === null) {
    return [];
  }
  const grants: UnitEpoch[] = [];
  for (const record of leadership.replica.table.records.values()) {
    if (
      record.server !== session.server ||
      record.target !== null ||
      leadership.proposedUnits.has(record.unit)
    ) {
      continue;
    }
    const held = holdings.get(record.unit);
    const isHeld = held?.acknowledged === true && held.epoch === record.epoch;
    if (!isHeld && grants.length < MAXIMUM_GRANTS_PER_CALL) {
      grants.push({ unit: record.unit, epoch: record.epoch });
    }
  }
  return grants;
}

function pendingRevocations(leadership: ShardLeadership, session: ServerSession): UnitEpoch[] {
  const revokes: UnitEpoch[] = [];
  for (const [unit, { epoch }] of session.holdings ?? []) {
    const record = leadership.replica.table.records.get(unit);
    const shouldHold = record?.server === session.server && record.target === null && record.epoch >= epoch;
    if (!shouldHold) {
      revokes.push({ unit, epoch });
    }
  }
  return revokes;
}

/**
 * Sends the next control call of a session: a lease renewal together with all pending grants and revocations.
 */
export function sendControlCall(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
  address: string,
): void {
  const { timing, counters } = context.state;
  const { shard, generation, term } = leadership.replica;
  const oldestAllowedAt = context.now - timing.serverLease * MAXIMUM_STAMP_AGE_FRACTION;
  const isFresh = session.stamp !== null && session.stamp.receivedAt >= oldestAllowedAt;
  const stamp = isFresh && !leadership.recovering ? session.stamp : null;
  const grants = stamp === null ? [] : pendingGrants(leadership, session);
  for (const { unit, epoch } of grants) {
    session.holdings?.set(unit, { epoch, acknowledged: false });
  }
  if (stamp !== null) {
    const bound = stamp.receivedAt + timing.serverLease + timing.clockDriftMargin;
    session.leaseExpiryBound = Math.max(session.leaseExpiryBound, bound);
  }
  session.sequence += 1;
  session.callSentAt = context.now;
  session.nextCallAt = context.now + timing.leaseRenewalInterval;
  counters.control_calls += 1;
  const request: ControlRequest = {
    shard,
    generation,
    term,
    sequence: session.sequence,
    serverIncarnation: session.incarnation,
    stamp: stamp?.clock ?? null,
    leaseMilliseconds: timing.serverLease,
    grants,
    revokes: pendingRevocations(leadership, session),
    wantInventory: session.wantInventory || session.holdings === null,
  };
  context.emit({ kind: 'controlServer', server: session.server, address, request });
}

/**
 * Handles the timeout of a call. Its effect is unknown, so the next call requests an inventory of the
 * server's units.
 */
export function handleCallTimeout(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
): void {
  session.callSentAt = null;
  session.wantInventory = true;
  context.state.counters.control_timeouts += 1;
  leadership.replanNeeded = true;
}

/** Consequences of a server's reply. */
export interface ControlReplyResult {
  /** Units whose grant the server rejected as stale; they need a newer epoch. */
  readonly staleUnits: readonly UnitNumber[];
  /** Whether the reply changed state on which the plan depends. */
  readonly changed: boolean;
}

/** Updates a session from a server's reply and schedules the next call. */
export function handleControlReply(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
  reply: ControlReply,
): ControlReplyResult {
  const { draining: wasDraining } = session;
  const wasUnresponsive = context.now - session.lastReplyAt >= context.state.timing.serverLease;
  const hadHoldings = session.holdings !== null && session.holdings.size > 0;
  const isFirstReply = session.incarnation === 0;
  const outcome = applyReply(session, reply, context.now, leadership.replica.round);
  if (outcome.holdingsLost && hadHoldings) {
    context.state.counters.lease_lapses += 1;
    context.log('warn', `server ${session.server} lost its lease or restarted`);
  }
  const hasPendingChanges =
    isFirstReply ||
    pendingGrants(leadership, session).length > 0 ||
    pendingRevocations(leadership, session).length > 0;
  if (hasPendingChanges && session.stamp !== null) {
    session.nextCallAt = context.now + context.state.timing.tick;
  } else if (session.stamp === null) {
    // The next heartbeat round confirms the stamp of this reply; the lease is renewed as soon as that has
    // happened.
    session.nextCallAt = Math.min(session.nextCallAt, context.now + context.state.timing.heartbeat);
  }
  const { granted, revoked, inventory } = reply;
  const holdingsChanged =
    granted.length > 0 || revoked.length > 0 || inventory !== null || outcome.holdingsLost;
  const changed =
    holdingsChanged || outcome.staleUnits.length > 0 || wasUnresponsive || wasDraining !== session.draining;
  return { staleUnits: outcome.staleUnits, changed };
}
