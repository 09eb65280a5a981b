/**
 * Control calls of a shard leader to servers, and the handling of their replies.
 */
import type { ReducerContext } from '../context.js';
import type { UnitNumber } from '../identifiers.js';
import type { ControlReply, ControlRequest, UnitEpoch } from '../server-control.js';
import type { ServerSession } from './server-session.js';
import { takeReply } from './server-session.js';
import type { ShardLeadership } from './shard-leadership.js';

const GRANTS_PER_CALL = 1_024;
/**
 * Maximum age of a clock stamp, as a fraction of the lease; an older stamp would renew the lease for too
 * short a time.
 */
const OLDEST_STAMP_SHARE = 0.8;

function grantsFor(leadership: ShardLeadership, session: ServerSession): UnitEpoch[] {
  const { holdings } = session;
  if (holdings === null) {
    return [];
  }
  const grants: UnitEpoch[] = [];
  for (const record of leadership.replica.table.records.values()) {
    if (record.server !== session.server || record.target !== null || leadership.proposed.has(record.unit)) {
      continue;
    }
    const held = holdings.get(record.unit);
    const isHeld = held?.acknowledged === true && held.epoch === record.epoch;
    if (!isHeld && grants.length < GRANTS_PER_CALL) {
      grants.push({ unit: record.unit, epoch: record.epoch });
    }
  }
  return grants;
}

function revokesFor(leadership: ShardLeadership, session: ServerSession): UnitEpoch[] {
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
export function callServer(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
  address: string,
): void {
  const { timing, counters } = context.state;
  const { shard, generation, term } = leadership.replica;
  const oldestAllowedAt = context.now - timing.serverLease * OLDEST_STAMP_SHARE;
  const isFresh = session.stamp !== null && session.stamp.receivedAt >= oldestAllowedAt;
  const stamp = isFresh && !leadership.recovering ? session.stamp : null;
  const grants = stamp === null ? [] : grantsFor(leadership, session);
  for (const { unit, epoch } of grants) {
    session.holdings?.set(unit, { epoch, acknowledged: false });
  }
  if (stamp !== null) {
    const bound = stamp.receivedAt + timing.serverLease + timing.driftMargin;
    session.leaseBound = Math.max(session.leaseBound, bound);
  }
  session.sequence += 1;
  session.sentAt = context.now;
  session.nextContactAt = context.now + timing.renewInterval;
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
    revokes: revokesFor(leadership, session),
    wantInventory: session.wantInventory || session.holdings === null,
  };
  context.emit({ kind: 'controlServer', server: session.server, address, request });
}

/**
 * Handles the timeout of a call. Its effect is unknown, so the next call requests an inventory of the
 * server's units.
 */
export function timeOutCall(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
): void {
  session.sentAt = null;
  session.wantInventory = true;
  context.state.counters.control_timeouts += 1;
  leadership.dirty = true;
}

/** Consequences of a server's reply. */
export interface ControlNews {
  /** Units whose grant the server rejected as stale; they need a newer epoch. */
  readonly staleUnits: readonly UnitNumber[];
  /** Whether the reply changed state on which the plan depends. */
  readonly changed: boolean;
}

/** Updates a session from a server's reply and schedules the next call. */
export function takeControlReply(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
  reply: ControlReply,
): ControlNews {
  const { leaving: wasDraining } = session;
  const wasUnresponsive = context.now - session.lastReplyAt >= context.state.timing.serverLease;
  const hadHoldings = session.holdings !== null && session.holdings.size > 0;
  const isFirstReply = session.incarnation === 0;
  const outcome = takeReply(session, reply, context.now, leadership.replica.round);
  if (outcome.lapsed && hadHoldings) {
    context.state.counters.lease_lapses += 1;
    context.log('warn', `server ${session.server} lost its lease or restarted`);
  }
  const hasPendingChanges =
    isFirstReply || grantsFor(leadership, session).length > 0 || revokesFor(leadership, session).length > 0;
  if (hasPendingChanges && session.stamp !== null) {
    session.nextContactAt = context.now + context.state.timing.tick;
  } else if (session.stamp === null) {
    // The next heartbeat round confirms the stamp of this reply; the lease is renewed as soon as that has
    // happened.
    session.nextContactAt = Math.min(session.nextContactAt, context.now + context.state.timing.heartbeat);
  }
  const { granted, revoked, inventory } = reply;
  const holdingsChanged = granted.length > 0 || revoked.length > 0 || inventory !== null || outcome.lapsed;
  const changed =
    holdingsChanged || outcome.staleUnits.length > 0 || wasUnresponsive || wasDraining !== session.leaving;
  return { staleUnits: outcome.staleUnits, changed };
}
