/**
 * A shard leader's calls to servers and what it takes from their answers.
 */
import type { ReducerContext } from '../context.js';
import type { UnitNumber } from '../identifiers.js';
import type { ControlReply, ControlRequest, UnitEpoch } from '../server-control.js';
import type { ServerSession } from './server-session.js';
import { takeReply } from './server-session.js';
import type { ShardLeadership } from './shard-leadership.js';

const GRANTS_PER_CALL = 1_024;
/** A stamp older than this share of the lease is not worth sending. */
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
    const wanted = record?.server === session.server && record.target === null && record.epoch >= epoch;
    if (!wanted) {
      revokes.push({ unit, epoch });
    }
  }
  return revokes;
}

/** Sends the next call of a session: a renewal with all that is to be granted and revoked. */
export function callServer(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
  address: string,
): void {
  const { timing, counters } = context.state;
  const { shard, generation, term } = leadership.replica;
  const oldest = context.now - timing.serverLease * OLDEST_STAMP_SHARE;
  const fresh = session.stamp !== null && session.stamp.receivedAt >= oldest;
  const stamp = fresh && !leadership.recovering ? session.stamp : null;
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

/** No answer came: what the call did is not known, so the next one asks for all that the server holds. */
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

/** What an answer brought. */
export interface ControlNews {
  /** Units whose grant needs a newer epoch. */
  readonly staleUnits: readonly UnitNumber[];
  /** Something changed that the plan depends on. */
  readonly changed: boolean;
}

/** Takes in an answer. */
export function takeControlReply(
  context: ReducerContext,
  leadership: ShardLeadership,
  session: ServerSession,
  reply: ControlReply,
): ControlNews {
  const { leaving } = session;
  const wasSilent = context.now - session.lastReplyAt >= context.state.timing.serverLease;
  const hadHoldings = session.holdings !== null && session.holdings.size > 0;
  const firstAnswer = session.incarnation === 0;
  const outcome = takeReply(session, reply, context.now, leadership.replica.round);
  if (outcome.lapsed && hadHoldings) {
    context.state.counters.lease_lapses += 1;
    context.log('warn', `server ${session.server} lost its lease or restarted`);
  }
  const somethingToSend =
    firstAnswer || grantsFor(leadership, session).length > 0 || revokesFor(leadership, session).length > 0;
  if (somethingToSend && session.stamp !== null) {
    session.nextContactAt = context.now + context.state.timing.tick;
  } else if (session.stamp === null) {
    // The stamp that just came is confirmed by the next heartbeat round; renew as soon as it is.
    session.nextContactAt = Math.min(session.nextContactAt, context.now + context.state.timing.heartbeat);
  }
  const { granted, revoked, inventory } = reply;
  const holdingsChanged = granted.length > 0 || revoked.length > 0 || inventory !== null || outcome.lapsed;
  const changed =
    holdingsChanged || outcome.staleUnits.length > 0 || wasSilent || leaving !== session.leaving;
  return { staleUnits: outcome.staleUnits, changed };
}
