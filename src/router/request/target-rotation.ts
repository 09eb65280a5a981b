/** Distributes the requests of a route over its targets by smooth weighted round robin, which keeps to the weights in short runs, too. */
import type { Route } from '../model/configuration.js';
import type { ServiceName } from '../model/identifiers.js';

/** Round-robin state of every route with more than one target. */
export class TargetRotation {
  readonly #currentWeights = new Map<string, number[]>();

  /** Returns the target of a route's next request; undefined when the route has no target. */
  next(route: Route): ServiceName | undefined {
    const [first] = route.targets;
    if (route.targets.length <= 1) {
      return first?.service;
    }
    let currentWeights = this.#currentWeights.get(route.name);
    if (currentWeights?.length !== route.targets.length) {
      currentWeights = route.targets.map(() => 0);
      this.#currentWeights.set(route.name, currentWeights);
    }
    return this.#selectTarget(route, currentWeights);
  }

  #selectTarget(route: Route, currentWeights: number[]): ServiceName | undefined {
    let totalWeight = 0;
    let best = 0;
    route.targets.forEach((target, index) => {
      totalWeight += target.weight;
      currentWeights[index] = (currentWeights[index] as number) + target.weight;
      if ((currentWeights[index] as number) > (currentWeights[best] as number)) {
        best = index;
      }
    });
    currentWeights[best] = (currentWeights[best] as number) - totalWeight;
    return route.targets[best]?.service;
  }
}
