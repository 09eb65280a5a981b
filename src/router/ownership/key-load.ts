/** Which keys of a service are asked for, from samples of all daemons; recent ones count more. */
import type { Key, Milliseconds, ServiceName } from '../model/identifiers.js';
import type { KeySample } from '../peers/messages.js';

/** A sample's weight falls by e in this time. */
const MEMORY: Milliseconds = 1_500;
const LONGEST_KEPT: Milliseconds = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Rates are worked out as if samples had come for at least this long. */
const SHORTEST_OBSERVED: Milliseconds = 300;
/** Samples beyond this number make room, the oldest first. */
const MOST_SAMPLES = 20_000;

interface Sample {
  readonly at: Milliseconds;
  readonly key: Key;
  readonly requests: number;
}

/** Requests a second for a key. */
export interface KeyRate {
  readonly key: Key;
  readonly rate: number;
}

export class KeyLoad {
  #samples: Sample[] = [];
  #observedSince: Milliseconds | null = null;

  /** Takes in keys that were asked for just now, and how often. */
  add({ keys, counts }: Pick<KeySample, 'keys' | 'counts'>, now: Milliseconds): void {
    this.#observedSince ??= now;
    keys.forEach((key, index) => this.#samples.push({ at: now, key, requests: counts[index] ?? 1 }));
    if (this.#samples.length > MOST_SAMPLES) {
      this.#samples = this.#samples.slice(-MOST_SAMPLES / 2);
    }
  }

  /** Whether any key was asked for lately. */
  isAskedFor(now: Milliseconds): boolean {
    const last = this.#samples.at(-1);
    return last !== undefined && now - last.at < LONGEST_KEPT;
  }

  /** Keys that are asked for, in their order, each with its rate. */
  rates(now: Milliseconds): KeyRate[] {
    this.#samples = this.#samples.filter((sample) => now - sample.at < LONGEST_KEPT);
    const weights = new Map<Key, number>();
    for (const { at, key, requests } of this.#samples) {
      weights.set(key, (weights.get(key) ?? 0) + requests * Math.exp((at - now) / MEMORY));
    }
    // Soon after the first sample the weights cannot have added up yet: that is made good.
    const observed = Math.max(SHORTEST_OBSERVED, now - (this.#observedSince ?? now));
    const scale = MILLISECONDS_PER_SECOND / (MEMORY * (1 - Math.exp(-observed / MEMORY)));
    return [...weights]
      .map(([key, weight]) => ({ key, rate: weight * scale }))
      .sort((left, right) => left.key - right.key);
  }
}

/** The load of one service's keys, made when it is first needed. */
export function keyLoadOf(holder: { keyLoad: Map<ServiceName, KeyLoad> }, service: ServiceName): KeyLoad {
  let load = holder.keyLoad.get(service);
  if (load === undefined) {
    load = new KeyLoad();
    holder.keyLoad.set(service, load);
  }
  return load;
}
