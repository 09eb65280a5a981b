/** Limits and durations of a deployment that the reducer observes. */
import type { Milliseconds } from './model/identifiers.js';
import type { ColdStartLimits } from './request/cold-admission.js';
import type { RetryBudgetLimits } from './request/retry-budget.js';

/** Limits and durations of a deployment that the reducer observes. */
export interface RouterBounds {
  readonly retries: RetryBudgetLimits;
  /** Time within which a new configuration takes effect. */
  readonly configuration: Milliseconds;
  /** Time after which a draining server gets no new work. */
  readonly drain: Milliseconds;
  /** Daemons that have been connected for this long know the updates of the others. */
  readonly contact: Milliseconds;
  readonly longestLease: Milliseconds;
  /** Time after which servers of an evacuated zone get no requests; null: zones are not evacuated in this deployment. */
  readonly evacuation: Milliseconds | null;
  /** Limits of the requests to cold servers; null: unlimited. */
  readonly coldStart: ColdStartLimits | null;
  /** Processing capacity of this daemon, in cores of standard speed. */
  readonly processorPower: number;
}
