/** The address for operators. Its routes are loaded with the first request: callers wait for a start. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { RouterState } from '../router/router-state.js';
import type { RouterMetrics } from './router-metrics.js';

async function loadRoutes(state: RouterState, metrics: RouterMetrics): Promise<RequestListener> {
  const { createAdminRoutes } = await import('./admin-routes.js');
  return createAdminRoutes(state, metrics);
}

/** The server of the operators' address. */
export function createRouterAdmin(state: RouterState, metrics: RouterMetrics): Server {
  let routes: Promise<RequestListener> | undefined;
  return createServer((request, response) => {
    routes ??= loadRoutes(state, metrics);
    void routes.then((serve) => serve(request, response));
  });
}
