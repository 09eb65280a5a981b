/** Describes the results of attempts for the log. */
import type { AttemptResult } from '../events.js';

/** Returns what became of an attempt, with what ties a rejection to it. */
export function describeResult(result: AttemptResult): string {
  switch (result.kind) {
    case 'answered':
      return `answered ${result.status}`;
    case 'rejected':
      return `rejected ${result.status} (${describeAttribution(result)})`;
    case 'withheld':
      return 'withheld: not written';
    case 'refusedByProxy':
      return `refusedByProxy: ${result.reason} (${result.proofs.join(', ') || 'no attempt there'})`;
    case 'lost':
      return `lost: ${result.reason}${result.foreignAttemptId === undefined ? '' : `, ${result.foreignAttemptId}`}`;
    default:
      return `${result.kind}: ${result.reason}`;
  }
}

function describeAttribution({ attribution }: Extract<AttemptResult, { kind: 'rejected' }>): string {
  return attribution === 'none' ? 'names no attempt' : `by ${attribution}`;
}
