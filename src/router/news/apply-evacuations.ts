/** Applies changes of the evacuated zones, from the store or from other daemons. */
import type { EvacuationsChangedEvent, EvacuationsListedEvent } from '../events.js';
import type { RouterContext } from '../router-context.js';
import { sendHeartbeatSoon } from '../tree/heartbeats.js';
import { sendReportSoon } from '../tree/reports.js';
import { evacuationsConfirmedAt } from './store-data-age.js';
import type { EvacuationStatement } from './zone-evacuations.js';

/** Applies a full list of evacuated zones from the store. */
export function applyStoredEvacuationList(context: RouterContext, event: EvacuationsListedEvent): void {
  applyEvacuations(context, event);
}

/** Applies changes of evacuated zones from the store. */
export function applyStoredEvacuationChanges(context: RouterContext, event: EvacuationsChangedEvent): void {
  const zones = new Set(context.state.evacuations.statement().zones);
  for (const { zone, evacuated } of event.changes) {
    if (evacuated) {
      zones.add(zone);
    } else {
      zones.delete(zone);
    }
  }
  applyEvacuations(context, { revision: event.revision, zones: [...zones] });
}

/**
 * Treats the servers of a restored zone as cold: they may have become cold shortly before, and their entries show that only
 * with the next heartbeat.
 */
function treatZoneAsCold({ state, now }: RouterContext, zone: string): void {
  for (const known of state.servers.values()) {
    if (known.server.zone === zone) {
      const coldTime = state.configuration?.services.get(known.server.service)?.coldTime ?? 0;
      known.coldUntil = Math.max(known.coldUntil, now + coldTime);
    }
  }
}

/** Applies a statement from the store or from another daemon, unless it isn't newer than the last one. */
export function applyEvacuations(context: RouterContext, statement: EvacuationStatement | null): void {
  const { state, now } = context;
  // The store accepted a change that is new here after it had confirmed the former zones.
  const acceptedAfter = Math.min(now, evacuationsConfirmedAt(state));
  const change = statement === null ? null : state.evacuations.apply(statement, now, acceptedAfter);
  if (statement === null || change === null) {
    return;
  }
  const { revision } = statement;
  change.evacuated.forEach((zone) => context.log('zone_evacuated', { zone, revision }));
  change.restored.forEach((zone) => {
    context.log('zone_restored', { zone, revision });
    treatZoneAsCold(context, zone);
  });
  sendHeartbeatSoon(context);
  sendReportSoon(context);
  if (state.leadership !== null) {
    state.leadership.nextPlanAt = now;
  }
}
