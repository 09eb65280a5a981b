/** Describes the results of attempts for the log. */
import type { AttemptResult } from '../events.js';

/** Returns what became of an attempt, with what ties a rejection to it. */
export function describeResult(result: AttemptResult): string {
  switch (result.kind) {
    case 'answered':
      return `answered ${result.status}`;
    case 'ambiguousAnswer':
      return `answered ${result.status} without saying whether it ran`;
    case 'rejected':
      return `rejected ${result.status} by ${result.attribution}`;
    case 'withheld':
      return 'withheld: not written';
    case 'refusedByProxy':
      return `refusedByProxy: ${result.reason} (${result.proofs.join(', ') || 'no attempt there'})`;
    case 'lost':
      return `lost: ${result.reason}${describeForeignId(result)}`;
    default:
      return `${result.kind}: ${result.reason}`;
  }
}

function describeForeignId({ foreignAttemptId }: Extract<AttemptResult, { kind: 'lost' }>): string {
  return typeof foreignAttemptId === 'string' ? `, ${foreignAttemptId}` : '';
}
