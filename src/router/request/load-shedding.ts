/** Counts and logs the requests that are refused while more urgent ones wait for, or demand, the capacity of their service. */
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import { loadOf } from './service-room.js';

/** Minimum interval of the log lines of one service. */
const LOG_INTERVAL: Milliseconds = 1_000;

/** Refusals of one service since its last log line. */
export interface LoadShedding {
  /** Number of refused requests by priority. */
  readonly refused: Map<number, number>;
  nextLogAt: Milliseconds;
}

/**
 * Records the refusal of a request for want of room.
 *
 * @param heldPriority priority of a more urgent request that waits for the same servers; null: none does
 */
export function recordShedRequest(
  context: RouterContext,
  { service, route }: ActiveRequest,
  shedding: LoadShedding,
  heldPriority: number | null,
): void {
  const load = loadOf(context, service);
  const demanded = load.priorities.find((priority) => priority < route.priority) ?? null;
  const moreUrgent = heldPriority ?? demanded;
  if (moreUrgent === null) {
    return;
  }
  const { state, now } = context;
  state.counters.refused_behind_more_urgent += 1;
  shedding.refused.set(route.priority, (shedding.refused.get(route.priority) ?? 0) + 1);
  if (now < shedding.nextLogAt) {
    return;
  }
  shedding.nextLogAt = now + LOG_INTERVAL;
  context.log('load_shed', {
    service,
    refused: Object.fromEntries(shedding.refused),
    for_priority: moreUrgent,
    reserved_mean_load: load.meanLoad(true),
    shared_mean_load: load.meanLoad(false),
  });
  shedding.refused.clear();
}
