/**
 * Spreads the requests of a route over its targets by weight: smooth weighted round robin, so that also a
 * short run of requests has each target's share.
 */
import type { Route } from '../model/configuration.js';
import type { ServiceName } from '../model/identifiers.js';

/** Turns of every route with more than one target. */
export class TargetRotation {
  readonly #credits = new Map<string, number[]>();

  /** The target of the next request of a route. */
  next(route: Route): ServiceName | undefined {
    const [first] = route.targets;
    if (route.targets.length <= 1) {
      return first?.service;
    }
    let credits = this.#credits.get(route.name);
    if (credits?.length !== route.targets.length) {
      credits = route.targets.map(() => 0);
      this.#credits.set(route.name, credits);
    }
    return this.#turn(route, credits);
  }

  #turn(route: Route, credits: number[]): ServiceName | undefined {
    let total = 0;
    let best = 0;
    route.targets.forEach((target, index) => {
      total += target.weight;
      credits[index] = (credits[index] as number) + target.weight;
      if ((credits[index] as number) > (credits[best] as number)) {
        best = index;
      }
    });
    credits[best] = (credits[best] as number) - total;
    return route.targets[best]?.service;
  }
}
