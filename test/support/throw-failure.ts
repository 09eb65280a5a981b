/** For daemons of tests in which no effect fails. */
import type { Effect } from '../../src/router/effects.js';

/** Throws for an effect that could not be performed. */
export function throwFailure({ kind }: Effect, reason: string): never {
  throw new Error(`${kind}: ${reason}`);
}
