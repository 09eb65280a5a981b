/**
 * The workload of the simulated system: open-loop request arrivals over the routes of its configuration.
 */
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import type { Milliseconds } from '../core/identifiers.js';
import type { World } from './world.js';

const KEY_COUNT = 500;

/** Sends requests at an average rate (Poisson arrivals) until a time. */
export function startWorkload(
  world: World,
  configuration: RoutingConfiguration,
  requestsPerSecond: number,
  until: Milliseconds,
): void {
  const next = (): void => {
    if (world.now >= until) {
      return;
    }
    const route = world.random.pick(configuration.routes);
    if (route !== undefined) {
      const path = route.path
        .replace(/:\w+/, `key-${world.random.integerBelow(KEY_COUNT)}`)
        .replace('*', 'item');
      world.call({ method: route.methods[0] ?? 'GET', path, repeatable: route.repeatable });
    }
    const meanInterval = 1_000 / requestsPerSecond;
    world.scheduler.after(-Math.log(1 - world.random.fraction()) * meanInterval, next);
  };
  world.scheduler.after(0, next);
}
