/**
 * Turns an exception while an effect is performed into the outcome that the reducer waits for. An exception of the reducer itself is passed
 * on, and ends the process: its state can't be trusted any more (docs/design/boundaries.md).
 */
import type { Effect } from '../router/effects.js';
import type { RouterEvent } from '../router/events.js';

const reducerErrors = new WeakSet<Error>();

/** Runs the reducer, and marks its exceptions. */
export function runReducer(reduce: () => readonly Effect[]): readonly Effect[] {
  try {
    return reduce();
  } catch (cause) {
    const error = cause instanceof Error ? cause : new Error(String(cause));
    reducerErrors.add(error);
    throw error;
  }
}

/** Performs an effect, or a part of it that was delayed. Events that this dispatches may run the reducer. */
export function performGuarded(perform: () => void, onFailure: (reason: string) => void): void {
  try {
    perform();
  } catch (cause) {
    if (cause instanceof Error && reducerErrors.has(cause)) {
      throw cause;
    }
    onFailure(cause instanceof Error ? cause.message : String(cause));
  }
}

/** Returns the event that reports an effect of which nothing was done; null: the reducer waits for none. */
export function failureEvent(effect: Effect, reason: string): RouterEvent | null {
  switch (effect.kind) {
    case 'forward':
    case 'forwardToProxy': {
      const { requestId, attempt } = effect;
      return {
        kind: 'attemptEnded',
        requestId,
        attempt,
        result: { kind: 'notSent', reason, refused: false },
      };
    }
    case 'control':
      return {
        kind: 'controlEnded',
        callId: effect.callId,
        outcome: { kind: 'notSent', reason, refused: false },
      };
    case 'checkPath':
      return {
        kind: 'pathChecked',
        checkId: effect.checkId,
        failure: reason,
        loopDelay: 0,
        unwrittenBytes: 0,
        recentlyWrittenBytes: 0,
      };
    case 'follow':
      return effect.address === null
        ? null
        : { kind: 'parentLinkClosed', address: effect.address, refused: false };
    default:
      return null;
  }
}
