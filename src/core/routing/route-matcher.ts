/**
 * Maps a request's method, host and path to a route. Path patterns are matched by the router of the `hono`
 * library; of several matching routes, the first in the configuration's order is used.
 */
import { TrieRouter } from 'hono/router/trie-router';
import type { RouteConfiguration } from '../configuration/routing-configuration.js';

/** A matched route with the values of its path parameters. */
export interface RouteMatch {
  readonly route: RouteConfiguration;
  readonly pathParameters: Readonly<Record<string, string>>;
}

/** Matcher compiled from the routes of one configuration. */
export class RouteMatcher {
  readonly #router = new TrieRouter<RouteConfiguration>();

  constructor(routes: readonly RouteConfiguration[]) {
    for (const route of routes) {
      for (const method of route.methods) {
        this.#router.add(method, route.path, route);
      }
    }
  }

  /** Returns the route for a request, or undefined. */
  match(method: string, host: string, path: string): RouteMatch | undefined {
    const [handlers] = this.#router.match(method, path);
    for (const [route, parameters] of handlers) {
      if (route.host === undefined || route.host === host) {
        return { route, pathParameters: parameters as Record<string, string> };
      }
    }
    return undefined;
  }
}
