/** Counts this daemon's requests in progress at each proxy. */
import type { RouterContext } from '../router-context.js';
import type { ActiveRequest } from '../request/active-request.js';
import type { UsableProxy } from './proxy-candidate.js';

/** Sends a request to a proxy. */
export function forwardToProxy(
  context: RouterContext,
  request: ActiveRequest,
  { daemon, address }: UsableProxy,
): void {
  const { state, now } = context;
  state.counters.requests_to_proxies += 1;
  request.attemptNumber += 1;
  request.attemptStartedAt = now;
  request.execution.begin();
  request.proxy = { daemon, address };
  request.triedProxies.push(daemon);
  state.proxying.requestsAt.set(address, (state.proxying.requestsAt.get(address) ?? 0) + 1);
  const { id, service, attempts, arrivedAt, deadlineAt, attemptNumber } = request;
  context.emit({
    kind: 'forwardToProxy',
    requestId: id,
    attempt: attemptNumber,
    address,
    timeLeft: deadlineAt - now,
    origin: { daemon: state.identity.daemon, service, attempts, age: now - arrivedAt },
  });
}

/** Takes a request off its proxy. */
export function endProxiedAttempt({ state }: RouterContext, request: ActiveRequest): void {
  if (request.proxy !== null) {
    const { address } = request.proxy;
    const { requestsAt } = state.proxying;
    const left = (requestsAt.get(address) ?? 1) - 1;
    if (left > 0) {
      requestsAt.set(address, left);
    } else {
      requestsAt.delete(address);
    }
    request.proxy = null;
  }
}
