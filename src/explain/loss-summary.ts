/** Counts the requests that no server answered, by service, outcome and reason, from the logs of any number of daemons. */
import type { LogLine } from './log-line.js';

/** Events that end a request without a server's response. */
const LOSS_EVENTS: ReadonlySet<string> = new Set([
  'request_refused',
  'request_failed',
  'request_broken_off',
  'caller_left',
]);
const MILLISECONDS_PER_SECOND = 1_000;

/** Requests of one service that ended with the same outcome and reason. */
export interface LossRow {
  readonly service: string;
  readonly outcome: string;
  /** The reason with server names replaced by `*`. */
  readonly reason: string;
  requests: number;
  /** When the first and the last of these requests ended, in seconds since the first line of any log. */
  firstSecond: number;
  lastSecond: number;
  /** The second with the most of these requests, and their number in it. */
  worstSecond: number;
  inWorstSecond: number;
}

/** Totals over all log lines given. */
export interface LossSummary {
  readonly answered: number;
  /** Sorted by number of requests, largest first. */
  readonly rows: readonly LossRow[];
}

/** Replaces server names by `*`, so that reasons which differ only in the server count together. */
function maskServerNames(reason: string): string {
  return reason.replace(/\b[a-z]-[0-9a-z]+\b(#\d*)?/g, '*');
}

function textOrDefault(value: unknown, fallback: string): string {
  return typeof value === 'string' && value !== '' ? value : fallback;
}

/** Counts the losses of one row by second. */
class LossCounter {
  readonly #row: Omit<LossRow, 'requests' | 'firstSecond' | 'lastSecond' | 'worstSecond' | 'inWorstSecond'>;
  readonly #bySecond = new Map<number, number>();

  constructor(service: string, outcome: string, reason: string) {
    this.#row = { service, outcome, reason };
  }

  add(second: number): void {
    this.#bySecond.set(second, (this.#bySecond.get(second) ?? 0) + 1);
  }

  toRow(): LossRow {
    const seconds = [...this.#bySecond.keys()].sort((left, right) => left - right);
    const [worstSecond, inWorstSecond] = [...this.#bySecond].reduce((worst, entry) =>
      entry[1] > worst[1] ? entry : worst,
    );
    const requests = [...this.#bySecond.values()].reduce((sum, count) => sum + count, 0);
    const firstSecond = seconds[0] ?? 0;
    const lastSecond = seconds.at(-1) ?? 0;
    return { ...this.#row, requests, firstSecond, lastSecond, worstSecond, inWorstSecond };
  }
}

/**
 * Counts the requests that no server answered. Each attempt of a caller counts separately.
 *
 * @example
 * summarizeLosses(lines).rows[0]?.reason;
 */
export function summarizeLosses(lines: readonly LogLine[]): LossSummary {
  const startTime = lines.reduce(
    (first, line) => Math.min(first, Date.parse(line.time)),
    Number.POSITIVE_INFINITY,
  );
  const counts = new Map<string, LossCounter>();
  let answered = 0;
  for (const line of lines) {
    answered += line.event === 'request_answered' ? 1 : 0;
    if (LOSS_EVENTS.has(line.event)) {
      const service = textOrDefault(line['service'], 'none');
      const reason = maskServerNames(textOrDefault(line['reason'], 'none'));
      const groupKey = `${service} ${line.event} ${reason}`;
      const count = counts.get(groupKey) ?? new LossCounter(service, line.event, reason);
      counts.set(groupKey, count);
      count.add(Math.floor((Date.parse(line.time) - startTime) / MILLISECONDS_PER_SECOND));
    }
  }
  const rows = [...counts.values()].map((count) => count.toRow());
  return { answered, rows: rows.sort((left, right) => right.requests - left.requests) };
}
