/** Finds the route of a request by its host and the longest matching path prefix. */
import type { Route } from './configuration.js';

/** Returns the host of a `Host` header in lower case, without the port. */
export function normalizeHost(header: string): string {
  const colon = header.lastIndexOf(':');
  const name = colon > header.lastIndexOf(']') && colon > 0 ? header.slice(0, colon) : header;
  return name.toLowerCase();
}

/** An index of routes, built once for each configuration. */
export class RouteTable {
  readonly #byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#byHost.get(host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      this.#byHost.set(host, prefixes);
    }
  }

  /**
   * Returns the route of a request, or undefined when none matches.
   *
   * @example
   * table.match('media.example', '/feeds/7?from=3')?.name;
   */
  match(hostHeader: string, target: string): Route | undefined {
    const prefixes = this.#byHost.get(normalizeHost(hostHeader));
    if (prefixes === undefined) {
      return undefined;
    }
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    for (let slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined || slash === 0) {
        return route;
      }
    }
    return undefined;
  }
}
