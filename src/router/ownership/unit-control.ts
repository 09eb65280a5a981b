/**
 * Carries out the assignment of units at the servers: release, grant, renewal, and probes of servers that
 * left a call unanswered.
 */
import type { ControlEndedEvent, ControlOutcome } from '../events.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, PendingCall, UnitProgress } from './leadership-state.js';
import { receiveRepeatedReleaseEnded, recordFenceSeen } from './repeated-releases.js';
import { RELEASE_TIMEOUT, RELEASE_RETRY_INTERVAL } from './ownership-timing.js';
import { allocateFences, unitName, findUnitByName, withUnits, type Unit } from './ownership-table.js';
import { leaseEnd, leaseOf, recordAnswer, recordCallEnded, recordUnansweredCall } from './server-lease.js';
import { addressOf, recordOtherInstance, successorOf } from './server-succession.js';
import {
  recordConnectionFailure,
  recordServerHeard,
  recordUnansweredControlCall,
} from '../reachability/path-checks.js';
import { writeTable } from './table-write.js';
import { callServer, probeServer } from './unit-calls.js';

/** Delay before the retry of a grant that the server rejected for another reason than its fence. */
const REJECTED_GRANT_RETRY_DELAY: Milliseconds = 300;

/** Sends the next release that is due for a unit, or waits until its former owner holds no lease. */
export function tickReleasing(
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
  const successor = lease.ended ? successorOf(context, leadership, former) : undefined;
  if (lease.ended && successor === undefined) {
    probeServer(context, leadership, unit, former);
    return;
  }
  if (context.now < progress.nextCallAt) {
    return;
  }
  progress.nextCallAt = context.now + RELEASE_RETRY_INTERVAL;
  callServer(context, leadership, unit, {
    action: 'release',
    server: successor ?? former,
    address: addressOf(context, leadership, former),
    fence: unit.fence - 1,
    leaseDuration: 0,
    timeout: RELEASE_TIMEOUT,
  });
}

/** Handles the end of a call to a server. */
export function receiveControlEnded(
  context: RouterContext,
  leadership: Leadership,
  event: ControlEndedEvent,
): void {
  const repeated = leadership.repeatedReleases.get(event.callId);
  if (repeated !== undefined) {
    leadership.repeatedReleases.delete(event.callId);
    receiveRepeatedReleaseEnded(context, leadership, repeated, event.outcome);
    return;
  }
  const call = leadership.pendingCalls.get(event.callId);
  if (call === undefined) {
    return;
  }
  leadership.pendingCalls.delete(event.callId);
  recordCallEnded(leadership, call);
  recordOutcome(context, leadership, call, event.outcome);
  if (call.action === 'probe') {
    leaseOf(leadership, call.server).probeInFlight = false;
    return;
  }
  if (event.outcome.kind === 'accepted') {
    recordFenceSeen(leadership, call);
  }
  const name = unitName(call.range);
  const unit = findUnitByName(leadership.table, name);
  const progress = leadership.unitProgress.get(name);
  if (unit === undefined || progress === undefined) {
    return;
  }
  if (call.action === 'release' && call.fence === unit.fence - 1) {
    handleReleaseOutcome(context, progress, unit, call.server, event.outcome);
  } else if (call.action === 'grant' && call.fence === unit.fence) {
    progress.callsInFlight = Math.max(0, progress.callsInFlight - 1);
    handleGrantOutcome(context, leadership, unit, progress, event.outcome);
  }
}

function recordOutcome(
  context: RouterContext,
  leadership: Leadership,
  call: PendingCall,
  outcome: ControlOutcome,
): void {
  const { counters } = context.state;
  const wasUnresponsive = leaseOf(leadership, call.server).unresponsive;
  recordContact(context, call, outcome);
  switch (outcome.kind) {
    case 'rejected':
      // A rejection with a status may come from another server at the address, so it does not count as an
      // answer.
      counters.control_rejected += 1;
      recordUnansweredCall(leadership, call, false, context.now);
      break;
    case 'unanswered':
    case 'notSent':
      counters.control_unanswered += 1;
      recordUnansweredCall(leadership, call, outcome.kind === 'unanswered', context.now);
      break;
    case 'otherInstance':
      recordOtherInstance(context, leadership, call, outcome.instance);
      break;
    default:
      recordAnswer(leadership, call, context.now);
  }
  if (wasUnresponsive && !leaseOf(leadership, call.server).unresponsive) {
    context.log('server_answers', { server: call.server, outcome: outcome.kind });
    leadership.nextPlanAt = context.now;
  }
}

/** Records what the end of a call shows of the path to its server. A release is answered late on purpose. */
function recordContact(context: RouterContext, call: PendingCall, { kind }: ControlOutcome): void {
  const known = context.state.servers.get(call.server);
  if (known === undefined) {
    return;
  }
  if (kind !== 'unanswered' && kind !== 'notSent') {
    recordServerHeard(context, known);
  } else if (kind === 'notSent') {
    recordConnectionFailure(context, known, call.sentAt);
  } else if (call.action !== 'release') {
    recordUnansweredControlCall(context, known, call.sentAt);
  }
}

function handleReleaseOutcome(
  context: RouterContext,
  progress: UnitProgress,
  unit: Unit,
  called: ServerId,
  outcome: ControlOutcome,
): void {
  if (progress.phase !== 'releasing') {
    return;
  }
  if (outcome.kind === 'accepted') {
    progress.phase = 'granting';
    progress.handover = outcome.handover;
    progress.nextCallAt = context.now;
    context.log('unit_released', { unit: unitName(unit), fence: unit.fence, former: unit.releasing });
  } else if (outcome.kind === 'otherInstance' && called === unit.releasing) {
    // The server that refused may hold the keys under a renewal that it accepted, so it is asked next.
    progress.nextCallAt = context.now;
  }
}

function handleGrantOutcome(
  context: RouterContext,
  leadership: Leadership,
  unit: Unit,
  progress: UnitProgress,
  outcome: ControlOutcome,
): void {
  switch (outcome.kind) {
    case 'accepted':
      progress.grantedAt = context.now;
      if (progress.phase !== 'held') {
        progress.phase = 'held';
        leadership.viewChanged = true;
        context.log('unit_granted', { unit: unitName(unit), owner: unit.owner, fence: unit.fence });
      }
      return;
    case 'higherFence':
      progress.isFenceRefused = true;
      return;
    case 'rejected':
      progress.nextCallAt = context.now + REJECTED_GRANT_RETRY_DELAY;
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

/**
 * Assigns new fences to the units whose owner has seen a higher fence on some of their keys, in one table
 * write.
 */
export function raiseRefusedFences(context: RouterContext, leadership: Leadership): void {
  let { table } = leadership;
  const units = table.units.map((unit) => {
    if (leadership.unitProgress.get(unitName(unit))?.isFenceRefused !== true) {
      return unit;
    }
    const allocated = allocateFences(table);
    table = allocated.table;
    const { owner, fence } = unit;
    context.log('fence_raised', { unit: unitName(unit), owner, from: fence, to: allocated.fence });
    return { ...unit, fence: allocated.fence, releasing: null };
  });
  if (table !== leadership.table) {
    writeTable(context, leadership, withUnits(table, units));
  }
}
