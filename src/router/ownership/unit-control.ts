/** Carries a unit's assignment out at the servers: release, grant, renewal, and probes of silent servers. */
import type { ControlEndedEvent, ControlOutcome } from '../events.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, PendingCall, UnitProgress } from './leadership-state.js';
import {
  CONTROL_PATIENCE,
  LEASE,
  PROBE_INTERVAL,
  PROBE_PATIENCE,
  RELEASE_PATIENCE,
  RELEASE_REPEAT,
  RENEWAL_INTERVAL,
} from './ownership-timing.js';
import { takeFences, unitName, unitNamed, withUnits, type Unit } from './ownership-table.js';
import {
  leaseEnd,
  leaseOf,
  noteAnswer,
  noteGrantSent,
  noteNoAnswer,
  noteRefusedByOther,
} from './server-lease.js';
import { writeTable } from './table-write.js';

const DEFAULT_HEALTH_PATH = '/health';
const CALL_COUNTERS = { grant: 'grants', release: 'releases', probe: 'probes' } as const;
/** A grant that was refused for another reason is repeated after this long. */
const REJECTED_RETRY: Milliseconds = 300;

/** Makes the call that a unit is due. */
export function tickUnit(context: RouterContext, leadership: Leadership, unit: Unit): void {
  const progress = leadership.progress.get(unitName(unit));
  if (progress === undefined) {
    return;
  }
  if (progress.phase === 'releasing') {
    tickReleasing(context, leadership, unit, progress);
  } else {
    tickGranting(context, leadership, unit, progress);
  }
}

function tickReleasing(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  progress: UnitProgress,
): void {
  const former = unit.releasing;
  const lease = former === null ? null : leaseOf(leadership, former);
  if (former === null || lease === null || context.now > leaseEnd(leadership, lease, context.now)) {
    progress.phase = 'granting';
    progress.nextCallAt = context.now;
    context.log('release_waited_out', { unit: unitName(unit), fence: unit.fence, former });
    return;
  }
  if (context.now < progress.nextCallAt) {
    return;
  }
  progress.nextCallAt = context.now + RELEASE_REPEAT;
  const holder = lease.successor ?? former;
  callServer(context, leadership, unit, holder, 'release', unit.fence - 1, 0, RELEASE_PATIENCE);
}

/**
 * A write under way may give a unit to another owner because this one was never granted it: then it must
 * not be granted it meanwhile.
 */
function isTakenBack(leadership: Leadership, unit: Unit, progress: UnitProgress): boolean {
  if (leadership.write === null || progress.ownerMayHold) {
    return false;
  }
  const { units } = leadership.write.table;
  const name = unitName(unit);
  return !units.some((next) => unitName(next) === name && next.fence === unit.fence);
}

function tickGranting(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  progress: UnitProgress,
): void {
  const lease = leaseOf(leadership, unit.owner);
  if (lease.ended || progress.callsInFlight > 0 || progress.fenceRefused) {
    return;
  }
  if (lease.unanswered > 0 && !wantsRest(context, unit.owner)) {
    probe(context, leadership, unit);
    return;
  }
  if (context.now < progress.nextCallAt || isTakenBack(leadership, unit, progress)) {
    return;
  }
  const hold = Math.min(LEASE, context.state.bounds.longestLease);
  progress.nextCallAt = context.now + RENEWAL_INTERVAL;
  if (callServer(context, leadership, unit, unit.owner, 'grant', unit.fence, hold, CONTROL_PATIENCE)) {
    progress.callsInFlight += 1;
    progress.ownerMayHold = true;
    noteGrantSent(lease, hold, context.now);
  }
}

/** A probe is a request, which a server that wants rest is spared; renewals are none. */
function wantsRest({ state, now }: RouterContext, server: ServerId): boolean {
  return (state.servers.get(server)?.rest.left(now) ?? 0) > 0;
}

/** Asks a server that left a call unanswered whether it lives, and whether it is the same one still. */
function probe(context: RouterContext, leadership: Leadership, unit: Unit): void {
  const lease = leaseOf(leadership, unit.owner);
  if (lease.probeInFlight || context.now < lease.nextProbeAt) {
    return;
  }
  lease.nextProbeAt = context.now + PROBE_INTERVAL;
  lease.probeInFlight = callServer(context, leadership, unit, unit.owner, 'probe', 0, 0, PROBE_PATIENCE);
}

function callServer(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  server: ServerId,
  action: PendingCall['action'],
  fence: number,
  hold: Milliseconds,
  patience: Milliseconds,
): boolean {
  const address = context.state.servers.get(server)?.server.address ?? leadership.addresses.get(server);
  if (address === undefined) {
    return false;
  }
  const { counters } = context.state;
  counters[CALL_COUNTERS[action]] += 1;
  const handover = action === 'grant' ? (leadership.progress.get(unitName(unit))?.handover ?? null) : null;
  const { from, to } = unit;
  const callId = context.control({
    action,
    server,
    address,
    from,
    to,
    fence,
    hold,
    handover,
    patience,
    healthPath: context.state.configuration?.services.get(unit.service)?.healthPath ?? DEFAULT_HEALTH_PATH,
  });
  const call: PendingCall = { action, server, unit: unitName(unit), fence, lease: hold, sentAt: context.now };
  leadership.calls.set(callId, call);
  return true;
}

/** A call to a server ended. */
export function receiveControlEnded(
  context: RouterContext,
  leadership: Leadership,
  event: ControlEndedEvent,
): void {
  const call = leadership.calls.get(event.callId);
  if (call === undefined) {
    return;
  }
  leadership.calls.delete(event.callId);
  noteOutcome(context, leadership, call, event.outcome);
  if (call.action === 'probe') {
    leaseOf(leadership, call.server).probeInFlight = false;
    return;
  }
  const unit = unitNamed(leadership.table, call.unit);
  const progress = leadership.progress.get(call.unit);
  if (unit === undefined || progress === undefined) {
    return;
  }
  if (call.action === 'release' && call.fence === unit.fence - 1) {
    concludeRelease(context, progress, unit, call.server, event.outcome);
  } else if (call.action === 'grant' && call.fence === unit.fence) {
    progress.callsInFlight = Math.max(0, progress.callsInFlight - 1);
    concludeGrant(context, leadership, unit, progress, event.outcome);
  }
}

function noteOutcome(
  context: RouterContext,
  leadership: Leadership,
  call: PendingCall,
  outcome: ControlOutcome,
): void {
  const { counters } = context.state;
  const wasSilent = leaseOf(leadership, call.server).silent;
  switch (outcome.kind) {
    case 'rejected':
      // Whoever rejects a call like this may be another server.
      counters.control_rejected += 1;
      noteNoAnswer(leadership, call, false, context.now);
      break;
    case 'unanswered':
    case 'notSent':
      counters.control_unanswered += 1;
      noteNoAnswer(leadership, call, outcome.kind === 'unanswered', context.now);
      break;
    case 'otherInstance':
      noteRefusedByOther(leadership, call.server);
      break;
    default:
      noteAnswer(leadership, call, context.now);
  }
  const { silent } = leaseOf(leadership, call.server);
  if (silent !== wasSilent) {
    context.log(silent ? 'server_silent' : 'server_answers', { server: call.server, outcome: outcome.kind });
    leadership.nextPlanAt = context.now;
  }
}

function concludeRelease(
  context: RouterContext,
  progress: UnitProgress,
  unit: Unit,
  called: ServerId,
  outcome: ControlOutcome,
): void {
  if (progress.phase !== 'releasing') {
    return;
  }
  // Whoever refuses a call for a successor may be the former owner itself, if an entry named a wrong address.
  const isGone = outcome.kind === 'otherInstance' && called === unit.releasing;
  if (outcome.kind === 'accepted' || isGone) {
    progress.phase = 'granting';
    progress.handover = outcome.kind === 'accepted' ? outcome.handover : null;
    progress.nextCallAt = context.now;
    context.log('unit_released', { unit: unitName(unit), fence: unit.fence, former: unit.releasing });
  }
}

function concludeGrant(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  progress: UnitProgress,
  outcome: ControlOutcome,
): void {
  switch (outcome.kind) {
    case 'accepted':
      if (progress.phase !== 'held') {
        progress.phase = 'held';
        leadership.viewChanged = true;
        context.log('unit_granted', { unit: unitName(unit), owner: unit.owner, fence: unit.fence });
      }
      return;
    case 'higherFence':
      progress.fenceRefused = true;
      return;
    case 'rejected':
      progress.nextCallAt = context.now + REJECTED_RETRY;
      context.log(
        'grant_rejected',
        { unit: unitName(unit), owner: unit.owner, status: outcome.status },
        'warn',
      );
      return;
    default:
      progress.nextCallAt = context.now;
  }
}

/** Units whose owner has seen a higher fence on some of the keys get fresh ones, all in one write. */
export function raiseRefusedFences(context: RouterContext, leadership: Leadership): void {
  let { table } = leadership;
  const units = table.units.map((unit) => {
    if (leadership.progress.get(unitName(unit))?.fenceRefused !== true) {
      return unit;
    }
    const taken = takeFences(table);
    table = taken.table;
    const { owner, fence } = unit;
    context.log('fence_raised', { unit: unitName(unit), owner, from: fence, to: taken.fence });
    return { ...unit, fence: taken.fence, releasing: null };
  });
  if (table !== leadership.table) {
    writeTable(context, leadership, withUnits(table, units));
  }
}
