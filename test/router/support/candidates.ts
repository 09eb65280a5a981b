/** Creates candidates for the selection of a server, without a daemon. */
import { Permits } from '../../../src/router/limits/permits.js';
import { ServerBackOff } from '../../../src/router/notices/server-back-off.js';
import { ServerContact } from '../../../src/router/reachability/server-contact.js';
import type { CandidateServer } from '../../../src/router/request/server-eligibility.js';
import type { ServerLoad } from '../../../src/router/request/server-load.js';
import { SendWindows } from '../../../src/router/sharing/send-windows.js';

/** Returns a warm server without faults, limits or back-off. */
export function createCandidate(server: CandidateServer['server'], load: ServerLoad): CandidateServer {
  return {
    server,
    load,
    contact: new ServerContact(),
    coldUntil: 0,
    drainingSince: null,
    backOff: new ServerBackOff(),
    coldSendWindows: new SendWindows(0),
    permits: new Permits(0),
  };
}
