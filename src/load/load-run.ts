/**
 * Load on daemons: arrivals at a rate that answers do not slow down (open loop), so that a slow answer
 * cannot hide the wait of those behind it. Latency counts from when a request was due, and requests go out
 * in steps of 5 ms: up to 5 ms of each latency are this tool's own.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { RouteConfiguration } from '../core/configuration/routing-configuration.js';
import { SeededRandom } from '../core/random.js';
import { OUTCOME_HEADER } from '../wire/headers.js';
import { KeyPopularity } from './popularity.js';

const TICK_MILLISECONDS = 5;
const CALLER_TIMEOUT_MILLISECONDS = 10_000;
const MICROSECONDS = 1_000;
const LARGEST_MICROSECONDS = 60_000_000;
const UNKNOWN_OUTCOME = 'broken';

/** What to send, and for how long. */
export interface LoadOptions {
  /** Where daemons serve callers. */
  readonly targets: readonly string[];
  readonly routes: readonly RouteConfiguration[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly keys: number;
  readonly exponent: number;
  /** The hot keys change this often; 0: never. */
  readonly hotKeySeconds: number;
  /** Connections to each daemon. */
  readonly connections: number;
  readonly seed: number;
}

/** Latencies of one priority class, in milliseconds, and outcomes. */
export interface ClassFigures {
  readonly requests: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly longest: number;
}

/** What a run showed. */
export interface LoadFigures {
  readonly seconds: number;
  readonly wantedPerSecond: number;
  readonly sentPerSecond: number;
  readonly classes: Readonly<Record<string, ClassFigures>>;
  /** Requests answered by each server over the mean of its group. */
  readonly imbalance: Readonly<Record<string, number>>;
  /** Longest time between two answers for one of the ten most asked keys. */
  readonly longestWithoutAnswer: number;
}

interface ClassRecord {
  readonly histogram: Histogram;
  readonly outcomes: Record<string, number>;
}

const WATCHED_KEYS = 10;

/** One run. */
export class LoadRun {
  readonly #options: LoadOptions;
  readonly #random: SeededRandom;
  readonly #popularity: KeyPopularity;
  readonly #pools: readonly Pool[];
  readonly #classes = new Map<string, ClassRecord>();
  readonly #servers = new Map<string, number>();
  readonly #answeredAt = new Map<string, { last: number; longest: number; count: number }>();
  readonly #open = new Set<Promise<void>>();
  #sent = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#popularity = new KeyPopularity(options.keys, options.exponent, this.#random);
    const { connections } = options;
    this.#pools = options.targets.map((target) => new Pool(`http://${target}`, { connections }));
  }

  /** Sends, waits for the last answers, and counts. */
  async run(): Promise<LoadFigures> {
    const { seconds, requestsPerSecond, hotKeySeconds } = this.#options;
    const begin = performance.now();
    const hot =
      hotKeySeconds > 0
        ? setInterval(() => this.#popularity.changeHotKeys(), hotKeySeconds * 1_000)
        : undefined;
    await new Promise<void>((resolve) => {
      const timer = setInterval(() => {
        const elapsed = performance.now() - begin;
        const due = Math.min(elapsed / 1_000, seconds) * requestsPerSecond;
        while (this.#sent < due) {
          this.#send(begin + (this.#sent / requestsPerSecond) * 1_000);
        }
        if (elapsed >= seconds * 1_000) {
          clearInterval(timer);
          resolve();
        }
      }, TICK_MILLISECONDS);
    });
    clearInterval(hot);
    await Promise.all(this.#open);
    await Promise.all(this.#pools.map((pool) => pool.destroy()));
    return this.#figures();
  }

  #send(dueAt: number): void {
    this.#sent += 1;
    const route = this.#random.pick(this.#options.routes);
    const pool = this.#pools[this.#sent % this.#pools.length];
    if (route === undefined || pool === undefined) {
      return;
    }
    const key = this.#popularity.next();
    const call = this.#call(pool, route, key, dueAt).finally(() => this.#open.delete(call));
    this.#open.add(call);
  }

  async #call(pool: Pool, route: RouteConfiguration, key: string, dueAt: number): Promise<void> {
    const method = route.methods[0] ?? 'GET';
    const path = route.path.replace(/:\w+/, key).replace('*', key);
    const record = this.#classOf(route.priority);
    let outcome = UNKNOWN_OUTCOME;
    try {
      const body = method === 'GET' ? null : 'content';
      const signal = AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS);
      const answer = await pool.request({ method, path, body, signal });
      const text = await answer.body.text();
      outcome = String(answer.headers[OUTCOME_HEADER] ?? UNKNOWN_OUTCOME);
      if (outcome === 'answered') {
        this.#noteAnswer(route, key, text);
      }
    } catch {
      outcome = UNKNOWN_OUTCOME;
    }
    record.outcomes[outcome] = (record.outcomes[outcome] ?? 0) + 1;
    const microseconds = Math.round((performance.now() - dueAt) * MICROSECONDS);
    record.histogram.recordValue(Math.min(LARGEST_MICROSECONDS, Math.max(1, microseconds)));
  }

  #classOf(priority: string): ClassRecord {
    let record = this.#classes.get(priority);
    if (record === undefined) {
      record = { histogram: build({ highestTrackableValue: LARGEST_MICROSECONDS }), outcomes: {} };
      this.#classes.set(priority, record);
    }
    return record;
  }

  /** The emulated servers say their name in the answer. */
  #noteAnswer(route: RouteConfiguration, key: string, text: string): void {
    const server = /"server":"([^"]+)"/.exec(text)?.[1];
    if (server !== undefined) {
      this.#servers.set(server, (this.#servers.get(server) ?? 0) + 1);
    }
    if (route.key === undefined) {
      return;
    }
    const now = performance.now();
    const known = this.#answeredAt.get(key) ?? { last: now, longest: 0, count: 0 };
    known.longest = Math.max(known.longest, now - known.last);
    known.last = now;
    known.count += 1;
    this.#answeredAt.set(key, known);
  }

  #imbalance(): Record<string, number> {
    const groups = new Map<string, number[]>();
    for (const [server, count] of this.#servers) {
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

  #figures(): LoadFigures {
    const { seconds, requestsPerSecond } = this.#options;
    const classes = [...this.#classes].map(([name, { histogram, outcomes }]) => {
      const at = (share: number): number => histogram.getValueAtPercentile(share) / MICROSECONDS;
      const longest = histogram.maxValue / MICROSECONDS;
      const requests = histogram.totalCount;
      return [name, { requests, outcomes, p50: at(50), p99: at(99), p999: at(99.9), longest }] as const;
    });
    const mostAsked = [...this.#answeredAt.values()].sort((left, right) => right.count - left.count);
    return {
      seconds,
      wantedPerSecond: requestsPerSecond,
      sentPerSecond: this.#sent / seconds,
      classes: Object.fromEntries(classes),
      imbalance: this.#imbalance(),
      longestWithoutAnswer: Math.max(0, ...mostAsked.slice(0, WATCHED_KEYS).map(({ longest }) => longest)),
    };
  }
}
