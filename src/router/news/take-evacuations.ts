/** Takes in which zones are evacuated, from the store or from other daemons, and what follows from it here. */
import type { EvacuationsChangedEvent, EvacuationsListedEvent } from '../events.js';
import type { RouterContext } from '../router-context.js';
import { sendHeartbeatSoon } from '../tree/heartbeats.js';
import { sendReportSoon } from '../tree/reports.js';
import type { EvacuationStatement } from './zone-evacuations.js';

/** The store listed every evacuated zone. */
export function takeEvacuationList(context: RouterContext, event: EvacuationsListedEvent): void {
  takeEvacuations(context, event);
}

/** The store told of changes. */
export function takeEvacuationChanges(context: RouterContext, event: EvacuationsChangedEvent): void {
  const zones = new Set(context.state.evacuations.statement().zones);
  for (const { zone, evacuated } of event.changes) {
    if (evacuated) {
      zones.add(zone);
    } else {
      zones.delete(zone);
    }
  }
  takeEvacuations(context, { revision: event.revision, zones: [...zones] });
}

/**
 * Servers of a zone that comes back may have turned cold shortly before, and their entries say so only with the next
 * heartbeat: they are taken for cold.
 */
function expectColdServers({ state, now }: RouterContext, zone: string): void {
  for (const known of state.servers.values()) {
    if (known.server.zone === zone) {
      const coldTime = state.configuration?.services.get(known.server.service)?.coldTime ?? 0;
      known.coldUntil = Math.max(known.coldUntil, now + coldTime);
    }
  }
}

/** A statement came, from the store or from another daemon. One that is not newer changes nothing. */
export function takeEvacuations(context: RouterContext, statement: EvacuationStatement | null): void {
  const { state, now } = context;
  const change = statement === null ? null : state.evacuations.put(statement, now);
  if (statement === null || change === null) {
    return;
  }
  const { revision } = statement;
  change.evacuated.forEach((zone) => context.log('zone_evacuated', { zone, revision }));
  change.restored.forEach((zone) => {
    context.log('zone_restored', { zone, revision });
    expectColdServers(context, zone);
  });
  sendHeartbeatSoon(context);
  sendReportSoon(context);
  if (state.leadership !== null) {
    state.leadership.nextPlanAt = now;
  }
}
