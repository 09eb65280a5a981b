/** Bounds of a deployment for tests. */
import type { RouterBounds } from '../../../src/router/router-bounds.js';

export const BOUNDS: RouterBounds = {
  retries: { ratio: 0.2, extra: 60 },
  configuration: 2_000,
  drain: 2_000,
  contact: 3_000,
  longestLease: 10_000,
  evacuation: 5_000,
  coldStart: { factor: 1.5, slack: 8 },
  processorPower: 1,
};
/** The same bounds with a retry budget that no test exhausts. */
export const BOUNDS_WITH_RETRIES: RouterBounds = { ...BOUNDS, retries: { ratio: 0.2, extra: 200 } };
