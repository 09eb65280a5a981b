/** Attempts that were refused a short time ago. An answer that names one of them shows that its refusal was not true. */
import type { AttemptResult } from '../events.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from './active-request.js';
import type { NotRunProof } from './request-execution.js';

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

/** Counts a refusal, by whether it rests on proofs or on the absence of attempts. */
export function recordRefusal(
  { state, now }: RouterContext,
  request: ActiveRequest,
  proofs: readonly NotRunProof[],
): void {
  state.counters.refused += 1;
  if (proofs.length === 0) {
    state.counters.refused_without_attempt += 1;
  } else {
    state.counters.refused_with_proof += 1;
    state.refusedAttempts.add(request.attemptId, now);
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
  if (foreignAttemptId === null) {
    counters.answers_without_id += 1;
    return;
  }
  counters.answers_to_other_requests += 1;
  const refusedAt = refusedAttempts.refusedAt(foreignAttemptId);
  if (refusedAt !== null) {
    counters.answers_to_refused_requests += 1;
    const age = Math.round(context.now - refusedAt);
    context.log('refused_request_answered', { attempt_id: foreignAttemptId, server, age }, 'warn');
  }
}
