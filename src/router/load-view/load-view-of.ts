/** Returns the load view of a service: that of all daemons while it is recent, otherwise this daemon's own. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { RouterState } from '../router-state.js';
import { MAX_FLEET_LOAD_AGE, workTimeOf } from './fleet-load.js';
import { summarizeLoad, viewOfSummary } from './load-summary.js';
import { type ServiceLoadView, UNKNOWN_LOAD } from './load-view.js';

export function loadViewOf(state: RouterState, service: ServiceName, now: Milliseconds): ServiceLoadView {
  const { loadView, daemons } = state;
  const fleet = loadView.fleet.get(service);
  if (fleet !== undefined && now - fleet.computedAt <= MAX_FLEET_LOAD_AGE) {
    return viewOfSummary(fleet.summary, 'fleet');
  }
  loadView.own.advance(now);
  if (!loadView.own.services().has(service)) {
    return UNKNOWN_LOAD;
  }
  const workTime = (priority: number): Milliseconds => workTimeOf(state, service, priority);
  return viewOfSummary(summarizeLoad(loadView.own.recent(service), daemons, workTime), 'own');
}

/** Returns the balanced services of which anything is known. */
export function servicesInLoadView({ loadView }: RouterState): ServiceName[] {
  return [...new Set([...loadView.fleet.keys(), ...loadView.reportingServices])].sort();
}
