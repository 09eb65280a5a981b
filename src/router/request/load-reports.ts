/** Load that servers report with their answers and rejections. */
import type { LoadReading } from '../events.js';
import { recordLoadReading } from '../load-view/load-recording.js';
import type { RouterContext } from '../router-context.js';
import type { KnownServer } from '../router-state.js';
import type { ReportedLoad } from './server-load.js';

/** Maximum number of logged characters of an unreadable value. */
const MAX_LOGGED_CHARACTERS = 60;

/** Records the load that a server reported. An unreadable report is counted, and logged once for each service. */
export function recordLoadReport(
  context: RouterContext,
  known: KnownServer | undefined,
  reading: LoadReading,
): ReportedLoad | null {
  if (known === undefined || reading === null) {
    return null;
  }
  if (!('unreadable' in reading)) {
    known.load.report(reading, context.now);
    recordLoadReading(context, known, reading);
    return reading;
  }
  const { counters, serviceProfiles } = context.state;
  const { id, service } = known.server;
  const profile = serviceProfiles.get(service);
  counters.malformed_load_reports += 1;
  if (profile?.loggedUnreadableLoad === false) {
    profile.loggedUnreadableLoad = true;
    const found = reading.unreadable.slice(0, MAX_LOGGED_CHARACTERS);
    context.log('malformed_load_report', { server: id, service, found }, 'warn');
  }
  return null;
}
