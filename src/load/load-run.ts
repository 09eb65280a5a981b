/**
 * An open-loop load generator: requests are sent at a fixed rate that does not depend on responses, so a slow
 * response cannot hide the waiting time of the requests behind it. Latency is measured from the time a request
 * was due. Requests are sent in steps of 5 ms, so up to 5 ms of each latency come from this tool.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { RouteConfiguration } from '../core/configuration/routing-configuration.js';
import { SeededRandom } from '../core/random.js';
import { OUTCOME_HEADER } from '../wire/headers.js';
import { KeySampler } from './key-sampler.js';

const SEND_INTERVAL_MILLISECONDS = 5;
const CALLER_TIMEOUT_MILLISECONDS = 10_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const MAX_LATENCY_MICROSECONDS = 60_000_000;
const BROKEN_OUTCOME = 'broken';

/** The load to send and the duration of the run. */
export interface LoadOptions {
  /** Addresses at which daemons accept requests of callers. */
  readonly targets: readonly string[];
  readonly routes: readonly RouteConfiguration[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly keys: number;
  readonly zipfExponent: number;
  /** Interval between changes of the hot keys, in seconds; 0: never. */
  readonly hotKeySeconds: number;
  /** Connections to each daemon. */
  readonly connections: number;
  readonly seed: number;
}

/** Outcomes of the requests of one priority class, and their latencies in milliseconds. */
export interface ClassResults {
  readonly requests: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly longest: number;
}

/** The results of a run. */
export interface LoadResults {
  readonly seconds: number;
  readonly wantedPerSecond: number;
  readonly sentPerSecond: number;
  readonly classes: Readonly<Record<string, ClassResults>>;
  /** By group: requests answered by its busiest server divided by the mean of its servers. */
  readonly imbalance: Readonly<Record<string, number>>;
  /** Longest time between two answers for one of the ten most requested keys, in milliseconds. */
  readonly longestWithoutAnswer: number;
}

interface ClassStatistics {
  readonly histogram: Histogram;
  readonly outcomes: Record<string, number>;
}

const MEASURED_HOT_KEYS = 10;

/** One run of the load generator. */
export class LoadRun {
  readonly #options: LoadOptions;
  readonly #random: SeededRandom;
  readonly #keySampler: KeySampler;
  readonly #pools: readonly Pool[];
  readonly #statisticsByClass = new Map<string, ClassStatistics>();
  readonly #answersByServer = new Map<string, number>();
  readonly #answersByKey = new Map<string, { last: number; longest: number; count: number }>();
  readonly #inFlight = new Set<Promise<void>>();
  #sent = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#keySampler = new KeySampler(options.keys, options.zipfExponent, this.#random);
    const { connections } = options;
    this.#pools = options.targets.map((target) => new Pool(`http://${target}`, { connections }));
  }

  /** Sends the load, waits for outstanding responses and returns the results. */
  async run(): Promise<LoadResults> {
    const { seconds, requestsPerSecond, hotKeySeconds } = this.#options;
    const startTime = performance.now();
    const hotKeyTimer =
      hotKeySeconds > 0
        ? setInterval(() => this.#keySampler.changeHotKeys(), hotKeySeconds * 1_000)
        : undefined;
    await new Promise<void>((resolve) => {
      const timer = setInterval(() => {
        const elapsed = performance.now() - startTime;
        const due = Math.min(elapsed / 1_000, seconds) * requestsPerSecond;
        while (this.#sent < due) {
          this.#sendNext(startTime + (this.#sent / requestsPerSecond) * 1_000);
        }
        if (elapsed >= seconds * 1_000) {
          clearInterval(timer);
          resolve();
        }
      }, SEND_INTERVAL_MILLISECONDS);
    });
    clearInterval(hotKeyTimer);
    await Promise.all(this.#inFlight);
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
    return this.#results();
  }

  #sendNext(dueAt: number): void {
    this.#sent += 1;
    const route = this.#random.pick(this.#options.routes);
    const pool = this.#pools[this.#sent % this.#pools.length];
    if (route === undefined || pool === undefined) {
      return;
    }
    const key = this.#keySampler.next();
    const pending = this.#sendRequest(pool, route, key, dueAt).finally(() => this.#inFlight.delete(pending));
    this.#inFlight.add(pending);
  }

  async #sendRequest(pool: Pool, route: RouteConfiguration, key: string, dueAt: number): Promise<void> {
    const method = route.methods[0] ?? 'GET';
    const path = route.path.replace(/:\w+/, key).replace('*', key);
    const record = this.#statisticsOf(route.priority);
    let outcome = BROKEN_OUTCOME;
    try {
      const body = method === 'GET' ? null : 'content';
      const signal = AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS);
      const response = await pool.request({ method, path, body, signal });
      const text = await response.body.text();
      outcome = String(response.headers[OUTCOME_HEADER] ?? BROKEN_OUTCOME);
      if (outcome === 'answered') {
        this.#recordAnswer(route, key, text);
      }
    } catch {
      outcome = BROKEN_OUTCOME;
    }
    record.outcomes[outcome] = (record.outcomes[outcome] ?? 0) + 1;
    const microseconds = Math.round((performance.now() - dueAt) * MICROSECONDS_PER_MILLISECOND);
    record.histogram.recordValue(Math.min(MAX_LATENCY_MICROSECONDS, Math.max(1, microseconds)));
  }

  #statisticsOf(priority: string): ClassStatistics {
    let record = this.#statisticsByClass.get(priority);
    if (record === undefined) {
      record = { histogram: build({ highestTrackableValue: MAX_LATENCY_MICROSECONDS }), outcomes: {} };
      this.#statisticsByClass.set(priority, record);
    }
    return record;
  }

  /** Records an answer for its server, whose name emulated servers put into the response body, and for its key. */
  #recordAnswer(route: RouteConfiguration, key: string, text: string): void {
    const server = /"server":"([^"]+)"/.exec(text)?.[1];
    if (server !== undefined) {
      this.#answersByServer.set(server, (this.#answersByServer.get(server) ?? 0) + 1);
    }
    if (route.key === undefined) {
      return;
    }
    const now = performance.now();
    const answers = this.#answersByKey.get(key) ?? { last: now, longest: 0, count: 0 };
    answers.longest = Math.max(answers.longest, now - answers.last);
    answers.last = now;
    answers.count += 1;
    this.#answersByKey.set(key, answers);
  }

  #imbalance(): Record<string, number> {
    const groups = new Map<string, number[]>();
    for (const [server, count] of this.#answersByServer) {
      const group = server.replace(/-\d+$/, '');
      groups.set(group, [...(groups.get(group) ?? []), count]);
    }
    return Object.fromEntries(
      [...groups].map(([group, counts]) => {
        const mean = counts.reduce((total, count) => total + count, 0) / counts.length;
        return [group, Math.max(...counts) / mean];
      }),
    );
  }

  #results(): LoadResults {
    const { seconds, requestsPerSecond } = this.#options;
    const classes = [...this.#statisticsByClass].map(([name, { histogram, outcomes }]) => {
      const latencyAt = (percentile: number): number =>
        histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
      const longest = histogram.maxValue / MICROSECONDS_PER_MILLISECOND;
      const requests = histogram.totalCount;
      return [
        name,
        { requests, outcomes, p50: latencyAt(50), p99: latencyAt(99), p999: latencyAt(99.9), longest },
      ] as const;
    });
    const mostRequested = [...this.#answersByKey.values()].sort((left, right) => right.count - left.count);
    return {
      seconds,
      wantedPerSecond: requestsPerSecond,
      sentPerSecond: this.#sent / seconds,
      classes: Object.fromEntries(classes),
      imbalance: this.#imbalance(),
      longestWithoutAnswer: Math.max(
        0,
        ...mostRequested.slice(0, MEASURED_HOT_KEYS).map(({ longest }) => longest),
      ),
    };
  }
}
