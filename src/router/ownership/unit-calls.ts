/** The leader's calls to servers: grants and releases of units, and probes. */
import type { Address } from '../model/address.js';
import type { Milliseconds, ServerId, ServiceName } from '../model/identifiers.js';
import type { ServerDescription } from '../model/server.js';
import { probeServer as sendProbe } from '../probe-server.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership, PendingCall } from './leadership-state.js';
import { PROBE_INTERVAL, PROBE_TIMEOUT } from './ownership-timing.js';
import { unitName, type UnitRange } from './ownership-table.js';
import { leaseOf } from './server-lease.js';
import { addressOf } from './server-succession.js';

const DEFAULT_HEALTH_PATH = '/health';
const CALL_COUNTERS = { grant: 'grants', release: 'releases', probe: 'probes' } as const;

/** A call to a server for a unit. `address` is undefined if the server was never listed. */
export interface UnitCall extends Pick<PendingCall, 'action' | 'server' | 'fence' | 'leaseDuration'> {
  readonly address: Address | undefined;
  readonly timeout: Milliseconds;
}

/** Sends a call unless the server's address is unknown. Returns whether it was sent. */
export function callServer(
  context: RouterContext,
  leadership: Leadership,
  unit: UnitRange,
  call: UnitCall,
): boolean {
  const { action, server, address, fence, leaseDuration, timeout } = call;
  if (address === undefined) {
    return false;
  }
  const { counters } = context.state;
  counters[CALL_COUNTERS[action]] += 1;
  const handover =
    action === 'grant' ? (leadership.unitProgress.get(unitName(unit))?.handover ?? null) : null;
  const { service, from, to } = unit;
  const callId = context.callServer({
    action,
    server,
    address,
    from,
    to,
    fence,
    hold: leaseDuration,
    handover,
    timeout,
    healthPath: healthPathOf(context, service),
  });
  leadership.pendingCalls.set(callId, {
    action,
    server,
    address,
    range: { service, from, to },
    fence,
    leaseDuration,
    sentAt: context.now,
  });
  return true;
}

/** Returns the path at which servers of a service answer probes. */
export function healthPathOf({ state }: RouterContext, service: ServiceName): string {
  return state.configuration?.services.get(service)?.healthPath ?? DEFAULT_HEALTH_PATH;
}

/** Probes the address of a server to learn whether it is alive, or which server listens there instead. */
export function probeServer(
  context: RouterContext,
  leadership: Leadership,
  unit: UnitRange,
  server: ServerId,
): void {
  const lease = leaseOf(leadership, server);
  if (lease.probeInFlight || context.now < lease.nextProbeAt) {
    return;
  }
  lease.nextProbeAt = context.now + PROBE_INTERVAL;
  lease.probeInFlight = callServer(context, leadership, unit, {
    action: 'probe',
    server,
    address: addressOf(context, leadership, server),
    fence: 0,
    leaseDuration: 0,
    timeout: PROBE_TIMEOUT,
  });
}

/** Probes a listed server for itself, whether or not it has units. */
export function probeKnownServer(
  context: RouterContext,
  leadership: Leadership,
  server: ServerDescription,
): void {
  leaseOf(leadership, server.id).probeInFlight = true;
  leadership.pendingCalls.set(sendProbe(context, server, PROBE_TIMEOUT), {
    action: 'probe',
    server: server.id,
    address: server.address,
    range: { service: server.service, from: 0, to: 0 },
    fence: 0,
    leaseDuration: 0,
    sentAt: context.now,
  });
}
