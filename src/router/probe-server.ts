/** Probes a server at its health path. The response reports draining, back-off and rate limit as any other response does. */
import type { Milliseconds } from './model/identifiers.js';
import type { ServerDescription } from './model/server.js';
import type { RouterContext } from './router-context.js';

/**
 * Sends a probe to a server and returns the call's id.
 *
 * @param responseTimeout how long to wait for the response
 */
export function probeServer(
  context: RouterContext,
  { id, address, service }: ServerDescription,
  responseTimeout: Milliseconds,
): number {
  const { state } = context;
  state.counters.probes += 1;
  return context.callServer({
    action: 'probe',
    server: id,
    address,
    from: 0,
    to: 0,
    fence: 0,
    hold: 0,
    handover: null,
    timeout: responseTimeout,
    healthPath: state.configuration?.services.get(service)?.healthPath ?? '/',
  });
}
