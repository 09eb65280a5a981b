/** Asks a server at its health path whether it is there: by the answer it says of itself what other answers say. */
import type { Milliseconds } from './model/identifiers.js';
import type { ServerDescription } from './model/server.js';
import type { RouterContext } from './router-context.js';

/**
 * Sends a probe and returns the number of the call.
 *
 * @param patience how long an answer is waited for
 */
export function probeServer(
  context: RouterContext,
  { id, address, service }: ServerDescription,
  patience: Milliseconds,
): number {
  const { state } = context;
  state.counters.probes += 1;
  return context.control({
    action: 'probe',
    server: id,
    address,
    from: 0,
    to: 0,
    fence: 0,
    hold: 0,
    handover: null,
    patience,
    healthPath: state.configuration?.services.get(service)?.healthPath ?? '/',
  });
}
