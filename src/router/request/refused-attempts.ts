/** Attempts that were refused a short time ago. An answer that names one of them shows that its refusal was not true. */
import type { AttemptResult } from '../events.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';

/** Maximum number of refused attempts that are remembered; the oldest is forgotten first. */
const MAX_ATTEMPTS = 1_024;

export class RefusedAttempts {
  readonly #refusedAt = new Map<string, Milliseconds>();

  add(attemptId: string, now: Milliseconds): void {
    this.#refusedAt.set(attemptId, now);
    if (this.#refusedAt.size > MAX_ATTEMPTS) {
      const [oldest] = this.#refusedAt.keys();
      this.#refusedAt.delete(oldest as string);
    }
  }

  /** Returns when an attempt was refused, or null if it is not remembered as refused. */
  refusedAt(attemptId: string): Milliseconds | null {
    return this.#refusedAt.get(attemptId) ?? null;
  }
}

/** Records a refusal with the proof that it rests on. */
export function recordRefusal({ state, now }: RouterContext, request: ActiveRequest): void {
  const { counters, refusedAttempts } = state;
  const { ended, mayHaveRun } = request.execution;
  if (mayHaveRun) {
    counters.refused_without_proof += 1;
  } else if (ended.length === 0) {
    counters.refused_without_attempt += 1;
  } else {
    counters.refused_with_proof += 1;
  }
  if (ended.length > 0 || mayHaveRun) {
    refusedAttempts.add(request.attemptId, now);
  }
}

/** Records an answer that names another request than the one that waited for it. */
export function recordForeignAnswer(
  context: RouterContext,
  server: ServerId | null,
  result: AttemptResult,
): void {
  if (result.kind !== 'lost' || result.foreignAttemptId === undefined) {
    return;
  }
  const { counters, refusedAttempts } = context.state;
  const { foreignAttemptId } = result;
  counters.answers_to_other_requests += 1;
  const refusedAt = refusedAttempts.refusedAt(foreignAttemptId);
  if (refusedAt !== null) {
    counters.answers_to_refused_requests += 1;
    const age = Math.round(context.now - refusedAt);
    context.log('refused_request_answered', { attempt_id: foreignAttemptId, server, age }, 'warn');
  }
}
