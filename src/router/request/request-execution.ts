/** What is known of whether servers have run a request: one entry for each of its attempts. */
import type { AttemptResult } from '../events.js';

/** Why an attempt has not run and never will. */
export type NotRunProof =
  /** Nothing was written to a server or a proxy. */
  | 'not written'
  /** The server has rejected the request, in an answer that names the attempt. */
  | 'rejected by id'
  /** The same in the first answer of a connection that had carried no other request. */
  | 'rejected on a new connection'
  /** Another daemon that took the request has such a proof for each attempt of its own. */
  | 'refused by a proxy';

/** What a daemon says of a request: that it has not run, it says only with a proof for each attempt. Without attempts there are no proofs. */
export type ExecutionStatement =
  { readonly mayHaveRun: false; readonly proofs: readonly NotRunProof[] } | { readonly mayHaveRun: true };

/** The statement on a request of which no attempt was made. */
export const NO_ATTEMPT: ExecutionStatement = { mayHaveRun: false, proofs: [] };
const MAY_HAVE_RUN: ExecutionStatement = { mayHaveRun: true };

/** What is known of one attempt that has ended. */
export type AttemptExecution = NotRunProof | 'unknown';

/** Returns what the result of an attempt proves. */
function executionOf(result: AttemptResult): AttemptExecution {
  switch (result.kind) {
    case 'notSent':
    case 'unsendable':
    case 'withdrawn':
    case 'withheld':
      return 'not written';
    case 'rejected':
      return result.attribution === 'id' ? 'rejected by id' : 'rejected on a new connection';
    case 'refusedByProxy':
      return 'refused by a proxy';
    case 'answered':
    case 'ambiguousAnswer':
    case 'failedAtProxy':
    case 'lost':
      return 'unknown';
  }
}

export class RequestExecution {
  readonly #ended: AttemptExecution[] = [];
  #isInProgress = false;

  /** What is known of the attempts that have ended, in their order. */
  get ended(): readonly AttemptExecution[] {
    return this.#ended;
  }

  /** What is certain: an attempt in progress may run, and one that ended without proof may have run. */
  get statement(): ExecutionStatement {
    const proofs = this.#ended.filter((execution) => execution !== 'unknown');
    const isProven = !this.#isInProgress && proofs.length === this.#ended.length;
    return isProven ? { mayHaveRun: false, proofs } : MAY_HAVE_RUN;
  }

  /** Records that an attempt begins. Until it ends it counts as one that may run. */
  begin(): void {
    this.#isInProgress = true;
  }

  /** Records the result of the attempt in progress. */
  end(result: AttemptResult): void {
    this.#settle(executionOf(result));
  }

  /** Records that the attempt in progress was given up without a result: it may have been written. */
  abandon(): void {
    if (this.#isInProgress) {
      this.#settle('unknown');
    }
  }

  #settle(execution: AttemptExecution): void {
    this.#isInProgress = false;
    this.#ended.push(execution);
  }
}
