/**
 * Estimates the request rates of the keys of a service from samples of all daemons, in which recent samples
 * weigh more.
 */
import type { Key, Milliseconds, ServiceName } from '../model/identifiers.js';
import type { KeySample } from '../peers/messages.js';

/** A sample's weight decays by a factor of e in this time. */
const DECAY_TIME: Milliseconds = 1_500;
const SAMPLE_RETENTION: Milliseconds = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Rates are computed as if samples had been collected for at least this long. */
const MIN_OBSERVATION_TIME: Milliseconds = 300;
/** If there are more samples than this, the oldest are dropped until half as many remain. */
const MAX_SAMPLES = 20_000;

interface Sample {
  readonly at: Milliseconds;
  readonly key: Key;
  readonly requests: number;
}

/** Requests per second for a key. */
export interface KeyRate {
  readonly key: Key;
  readonly rate: number;
}

export class KeyLoad {
  #samples: Sample[] = [];
  #observedSince: Milliseconds | null = null;

  /** Adds samples of keys that were requested just now, with their numbers of requests. */
  add({ keys, counts }: Pick<KeySample, 'keys' | 'counts'>, now: Milliseconds): void {
    this.#observedSince ??= now;
    keys.forEach((key, index) => this.#samples.push({ at: now, key, requests: counts[index] ?? 1 }));
    if (this.#samples.length > MAX_SAMPLES) {
      this.#samples = this.#samples.slice(-MAX_SAMPLES / 2);
    }
  }

  /** Returns whether any key was requested recently. */
  hasRecentRequests(now: Milliseconds): boolean {
    const last = this.#samples.at(-1);
    return last !== undefined && now - last.at < SAMPLE_RETENTION;
  }

  /** Returns the requested keys in key order, each with its rate. */
  rates(now: Milliseconds): KeyRate[] {
    this.#samples = this.#samples.filter((sample) => now - sample.at < SAMPLE_RETENTION);
    const weights = new Map<Key, number>();
    for (const { at, key, requests } of this.#samples) {
      weights.set(key, (weights.get(key) ?? 0) + requests * Math.exp((at - now) / DECAY_TIME));
    }
    // Soon after the first sample the weights have not reached their full sum yet, which the scale
    // compensates.
    const observed = Math.max(MIN_OBSERVATION_TIME, now - (this.#observedSince ?? now));
    const scale = MILLISECONDS_PER_SECOND / (DECAY_TIME * (1 - Math.exp(-observed / DECAY_TIME)));
    return [...weights]
      .map(([key, weight]) => ({ key, rate: weight * scale }))
      .sort((left, right) => left.key - right.key);
  }
}

/** Returns the load of a service's keys, created on first use. */
export function keyLoadOf(holder: { keyLoad: Map<ServiceName, KeyLoad> }, service: ServiceName): KeyLoad {
  let load = holder.keyLoad.get(service);
  if (load === undefined) {
    load = new KeyLoad();
    holder.keyLoad.set(service, load);
  }
  return load;
}
