/** Routes of the admin server: metrics, the daemon's state, rate limits of servers, and quarantined requests. */
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import type { RequestListener } from 'node:http';
import { describeLimitOverview } from '../router/limits/limit-overview.js';
import { notReadyReason, type RouterState } from '../router/router-state.js';
import type { RouterEvent } from '../router/events.js';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { RouterMetrics } from './router-metrics.js';

const ACCEPTED = 202;
const NOT_FOUND = 404;

/** Summarises the daemon's state. */
function describeState(state: RouterState): object {
  const { identity, configuration, serversRevision, servers, ownershipView, election, leadership } = state;
  return {
    daemon: identity.daemon,
    life: identity.life,
    missingForCallers: notReadyReason(state),
    configuration: configuration?.version ?? null,
    servers: { revision: serversRevision, count: servers.size },
    ownership: { term: ownershipView.term, sequence: ownershipView.sequence, units: ownershipView.units },
    leader: leadership === null ? election.leader : 'this daemon',
    requests: state.requests.size,
  };
}

/**
 * Serves `GET /metrics`, `GET /state`, `GET /limits` (servers that announce rate limits), `GET /quarantines`, and
 * `DELETE /quarantines/FINGERPRINT`, which lifts the quarantine of a request on all daemons.
 */
export function createAdminRoutes(
  state: RouterState,
  metrics: RouterMetrics,
  dispatch: (event: RouterEvent) => void,
): RequestListener {
  const app = new Hono();
  app.get('/metrics', async (context) => {
    return context.text(await metrics.registry.metrics(), 200, {
      'content-type': metrics.registry.contentType,
    });
  });
  app.get('/state', (context) => context.json(describeState(state)));
  app.get('/limits', (context) => context.json(describeLimitOverview(state, PROCESS_CLOCK.now())));
  app.get('/quarantines', (context) => context.json(state.crashTable.quarantines(PROCESS_CLOCK.now())));
  app.delete('/quarantines/:fingerprint', (context) => {
    const fingerprint = context.req.param('fingerprint');
    if (!state.crashTable.isFingerprintQuarantined(fingerprint)) {
      return context.json({ error: 'no request with this fingerprint is in quarantine' }, NOT_FOUND);
    }
    dispatch({ kind: 'quarantineLifted', fingerprint });
    return context.json({ fingerprint, lifted: true }, ACCEPTED);
  });
  const handleRequest = getRequestListener(app.fetch);
  return (request, response) => void handleRequest(request, response);
}
