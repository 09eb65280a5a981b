/** The HTTP server for operators. Its routes are loaded at the first request, to keep the daemon's start short for callers. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { RouterEvent } from '../router/events.js';
import type { RouterState } from '../router/router-state.js';
import type { RouterMetrics } from './router-metrics.js';

type Dispatch = (event: RouterEvent) => void;

async function loadRoutes(
  state: RouterState,
  metrics: RouterMetrics,
  dispatch: Dispatch,
): Promise<RequestListener> {
  const { createAdminRoutes } = await import('./admin-routes.js');
  return createAdminRoutes(state, metrics, dispatch);
}

/** Creates the admin server. */
export function createRouterAdmin(state: RouterState, metrics: RouterMetrics, dispatch: Dispatch): Server {
  let routes: Promise<RequestListener> | undefined;
  return createServer((request, response) => {
    routes ??= loadRoutes(state, metrics, dispatch);
    void routes.then((handleRequest) => handleRequest(request, response));
  });
}
