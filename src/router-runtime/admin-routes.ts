/** What the operators' address answers: metrics and what the daemon believes. */
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import type { RequestListener } from 'node:http';
import { missingForCallers, type RouterState } from '../router/router-state.js';
import type { RouterMetrics } from './router-metrics.js';

/** What the daemon believes, in short. */
function describeState(state: RouterState): object {
  const { identity, configuration, serversRevision, servers, view, election, leadership } = state;
  return {
    daemon: identity.daemon,
    life: identity.life,
    missingForCallers: missingForCallers(state),
    configuration: configuration?.version ?? null,
    servers: { revision: serversRevision, count: servers.size },
    ownership: { term: view.term, sequence: view.sequence, units: view.units },
    leader: leadership === null ? election.leader : 'this daemon',
    requests: state.requests.size,
  };
}

/** `GET /metrics` and `GET /state`. */
export function createAdminRoutes(state: RouterState, metrics: RouterMetrics): RequestListener {
  const app = new Hono();
  app.get('/metrics', async (context) => {
    return context.text(await metrics.registry.metrics(), 200, {
      'content-type': metrics.registry.contentType,
    });
  });
  app.get('/state', (context) => context.json(describeState(state)));
  const serve = getRequestListener(app.fetch);
  return (request, response) => void serve(request, response);
}
