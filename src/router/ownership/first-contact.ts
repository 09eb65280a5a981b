/**
 * Finds out whether servers answer before keys are planned for them. An entry in the server list doesn't show it: its address may be wrong,
 * or the server gone. Servers without units get no calls that would show it, so the leader probes each of them once; those that stay silent
 * are probed again, less and less often (`silent-servers.ts`).
 */
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { Leadership } from './leadership-state.js';
import { probeKnownServer } from './unit-calls.js';

/** Limit on the first probes of a tick: a slow machine can't make many calls in one go. */
const MAX_PROBES_PER_TICK = 16;
/** Longest time for which a plan waits for the first response of a server, which usually comes within a few milliseconds. */
const MAX_PLAN_DELAY: Milliseconds = 100;
/** The same for the first assignment of a service, counted from the start of the leadership. */
const MAX_FIRST_ASSIGNMENT_DELAY: Milliseconds = 2_000;

/** Returns whether a server has answered a call of this leader or a request of any daemon, or owned keys when the leadership began. */
export function wasReached({ leases, answeredAt }: Leadership, server: ServerId): boolean {
  return leases.get(server)?.wasReached === true || answeredAt.has(server);
}

/** Finds the listed servers of keyed services that nobody has reached. Called whenever the list changes, and before each plan. */
export function findUnreachedServers({ state }: RouterContext, leadership: Leadership): void {
  const { unreachedServers } = leadership;
  unreachedServers.clear();
  for (const [service, servers] of state.serversByService) {
    if (state.configuration?.services.get(service)?.keyed === true) {
      [...servers.keys()]
        .filter((server) => !wasReached(leadership, server))
        .forEach((server) => unreachedServers.add(server));
    }
  }
}

/** Sends first probes, and has keys planned anew once a server has answered. */
export function tickFirstContacts(context: RouterContext, leadership: Leadership): void {
  const { unreachedServers } = leadership;
  let left = MAX_PROBES_PER_TICK;
  for (const server of unreachedServers) {
    const known = context.state.servers.get(server);
    if (known === undefined) {
      unreachedServers.delete(server);
    } else if (wasReached(leadership, server)) {
      unreachedServers.delete(server);
      leadership.nextPlanAt = Math.min(leadership.nextPlanAt, context.now);
    } else if (left > 0 && awaitsContact(context, leadership, known) && !isProbed(leadership, server)) {
      left -= 1;
      probeKnownServer(context, leadership, known.server);
    }
  }
}

function isProbed({ leases }: Leadership, server: ServerId): boolean {
  return leases.get(server)?.probeInFlight === true;
}

/** Returns whether the outcome of the first probe of a server that may get keys is still to come. */
function awaitsContact(
  { state, now }: RouterContext,
  { leases }: Leadership,
  { server, drainingSince, backOff }: KnownServer,
): boolean {
  const lease = leases.get(server.id);
  const isUntried = lease === undefined || (lease.unanswered === 0 && !lease.ended);
  const isWanted = drainingSince === null && !state.evacuations.has(server.zone) && backOff.left(now) === 0;
  return isUntried && isWanted;
}

function isAnyContactAwaited(context: RouterContext, leadership: Leadership): boolean {
  for (const server of leadership.unreachedServers) {
    const known = context.state.servers.get(server);
    if (known !== undefined && awaitsContact(context, leadership, known)) {
      return true;
    }
  }
  return false;
}

/** Returns whether a plan that is due waits for the first response of a server. */
export function delaysPlan(context: RouterContext, leadership: Leadership): boolean {
  const isDelayed = context.now < leadership.nextPlanAt + MAX_PLAN_DELAY;
  return isDelayed && isAnyContactAwaited(context, leadership);
}

/** Returns whether the first assignment of a service waits for it: keys that move later have a cost. */
export function delaysFirstAssignment(context: RouterContext, leadership: Leadership): boolean {
  const isDelayed = context.now < leadership.startedAt + MAX_FIRST_ASSIGNMENT_DELAY;
  return isDelayed && isAnyContactAwaited(context, leadership);
}
