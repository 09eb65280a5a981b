/** Counts and logs the loads of services in messages of other daemons that cannot be read. */
import type { ServiceName } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';

/** Maximum number of logged characters of a malformed load. */
const MAX_LOGGED_CHARACTERS = 300;
/** Maximum number of services that are logged: a malformed name of a service may be different each time. */
const MAX_LOGGED_SERVICES = 100;

/** Counts a malformed load of a service, and logs it once for each service. The behaviour is the same as without it. */
export function recordMalformedLoad(
  context: RouterContext,
  service: ServiceName,
  peer: string,
  load: object,
): void {
  const { counters, loadView } = context.state;
  const { loggedMalformed } = loadView;
  counters.malformed_load_views += 1;
  if (loggedMalformed.has(service) || loggedMalformed.size >= MAX_LOGGED_SERVICES) {
    return;
  }
  loggedMalformed.add(service);
  const found = JSON.stringify(load, describeNumber).slice(0, MAX_LOGGED_CHARACTERS);
  context.log('malformed_load_view', { service, peer, found }, 'warn');
}

/** JSON has no form for numbers that are not finite. */
function describeNumber(_name: string, value: unknown): unknown {
  return typeof value === 'number' && !Number.isFinite(value) ? String(value) : value;
}
