/** The bounds of the deployment that the reducer keeps. */
import type { Milliseconds } from './model/identifiers.js';
import type { ColdStartLimits } from './request/cold-admission.js';
import type { RetryBudgetLimits } from './request/retry-budget.js';

/** The bounds of the deployment that the reducer keeps. */
export interface RouterBounds {
  readonly retries: RetryBudgetLimits;
  /** A change of the configuration is in force within this time. */
  readonly configuration: Milliseconds;
  readonly drain: Milliseconds;
  /** Daemons that have been connected for this long know what the others have seen. */
  readonly contact: Milliseconds;
  readonly longestLease: Milliseconds;
  /** Servers of an evacuated zone get nothing after this time; null: zones are not evacuated here. */
  readonly evacuation: Milliseconds | null;
  /** Null: nothing bounds what cold servers get. */
  readonly coldStart: ColdStartLimits | null;
  /** In whole cores of usual speed. */
  readonly processorPower: number;
}
