/** Where requests were lost, from the logs of any number of daemons: how many, by service, outcome and reason, and when. */
import type { LogLine } from './log-line.js';

/** Events that end a request without a server's answer. */
const LOSS_EVENTS: ReadonlySet<string> = new Set([
  'request_refused',
  'request_failed',
  'request_broken_off',
  'caller_left',
]);
const MILLISECONDS_PER_SECOND = 1_000;

/** Requests that ended in one way. */
export interface LossRow {
  readonly service: string;
  readonly outcome: string;
  /** The reason without names of servers. */
  readonly reason: string;
  requests: number;
  /** Of the first and the last one, in seconds since the first line of any log. */
  firstSecond: number;
  lastSecond: number;
  /** The second with the most of them, and how many those are. */
  worstSecond: number;
  inWorstSecond: number;
}

/** What the logs say of all requests. */
export interface LossSummary {
  readonly answered: number;
  /** The most frequent first. */
  readonly rows: readonly LossRow[];
}

/** Names of servers are left out, so that equal reasons count together. */
function withoutNames(reason: string): string {
  return reason.replace(/\b[a-z]-[0-9a-z]+\b(#\d*)?/g, '*');
}

function textOf(value: unknown, otherwise: string): string {
  return typeof value === 'string' && value !== '' ? value : otherwise;
}

/** Losses of one kind while they are counted. */
class LossCount {
  readonly #row: Omit<LossRow, 'requests' | 'firstSecond' | 'lastSecond' | 'worstSecond' | 'inWorstSecond'>;
  readonly #bySecond = new Map<number, number>();

  constructor(service: string, outcome: string, reason: string) {
    this.#row = { service, outcome, reason };
  }

  add(second: number): void {
    this.#bySecond.set(second, (this.#bySecond.get(second) ?? 0) + 1);
  }

  finish(): LossRow {
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
 * Counts the requests that no server answered. A try of a caller that is made again counts again.
 *
 * @example
 * summarizeLosses(lines).rows[0]?.reason;
 */
export function summarizeLosses(lines: readonly LogLine[]): LossSummary {
  const begin = lines.reduce(
    (first, line) => Math.min(first, Date.parse(line.time)),
    Number.POSITIVE_INFINITY,
  );
  const counts = new Map<string, LossCount>();
  let answered = 0;
  for (const line of lines) {
    answered += line.event === 'request_answered' ? 1 : 0;
    if (LOSS_EVENTS.has(line.event)) {
      const service = textOf(line['service'], 'none');
      const reason = withoutNames(textOf(line['reason'], 'none'));
      const name = `${service} ${line.event} ${reason}`;
      const count = counts.get(name) ?? new LossCount(service, line.event, reason);
      counts.set(name, count);
      count.add(Math.floor((Date.parse(line.time) - begin) / MILLISECONDS_PER_SECOND));
    }
  }
  const rows = [...counts.values()].map((count) => count.finish());
  return { answered, rows: rows.sort((left, right) => right.requests - left.requests) };
}
