import { ServerBackOff } from '../../../src/router/notices/server-back-off.js';
import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { Route } from '../../../src/router/model/configuration.js';
import { ServerContact } from '../../../src/router/reachability/server-contact.js';
import { SeededRandom } from '../../../src/core/random.js';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { Permits } from '../../../src/router/limits/permits.js';
import { SendWindows } from '../../../src/router/sharing/send-windows.js';
import { ServerLoad } from '../../../src/router/request/server-load.js';
import type { CandidateServer } from '../../../src/router/request/server-eligibility.js';
import { selectServer } from '../../../src/router/request/server-selection.js';
import { ServiceProfile } from '../../../src/router/request/service-profile.js';
import { CONFIGURATION, describeServer } from '../support/single-daemon.js';

/** A route with a latency objective of 400 ms. */
const ROUTE = CONFIGURATION.routes[0] as Route;
const IDLE = { running: 0, waiting: 0, slots: 2, slowdown: 1 };

function createCandidate(id: string): CandidateServer {
  const load = new ServerLoad(new ServiceProfile(), 2, 1);
  return {
    server: describeServer(id),
    load,
    contact: new ServerContact(),
    coldUntil: 0,
    drainingSince: null,
    backOff: new ServerBackOff(),
    coldSendWindows: new SendWindows(0),
    permits: new Permits(0),
  };
}

/** Returns how often the first of two servers is selected in 100 rounds. */
function countSelections(first: CandidateServer, second: CandidateServer, now: number): number {
  const random = new SeededRandom(1);
  let selections = 0;
  for (let round = 0; round < 100; round += 1) {
    const context = { now, zone: 'z', random, tried: [], maxInFlight: 9 };
    const choice = {
      route: ROUTE,
      workTime: 80,
      mayUseReserved: true,
      maxWaitBehind: Number.POSITIVE_INFINITY,
    };
    const best = selectServer([first, second], {
      ...context,
      ...choice,
      coldInterval: null,
      drainingGrace: 0,
      evacuationGrace: 0,
      toleratedFailures: 0,
      shareOf: () => null,
      seeker: { id: 1, priority: 1, holdUntil: now },
      evacuations: new ZoneEvacuations(),
    });
    selections += best.kind === 'selected' && best.server === first ? 1 : 0;
  }
  return selections;
}

describe('the selection of a server', () => {
  it('avoids a server that reports a slowdown', () => {
    const [slow, usual] = [createCandidate('s1'), createCandidate('s2')];
    slow.load.report({ ...IDLE, slowdown: 3 }, 1_000);
    usual.load.report(IDLE, 1_000);
    expect(countSelections(slow, usual, 1_010)).toEqual(0);
  });

  it('ignores a reported slowdown that is two seconds old', () => {
    const [slow, usual] = [createCandidate('s1'), createCandidate('s2')];
    slow.load.report({ ...IDLE, slowdown: 3 }, 1_000);
    usual.load.report(IDLE, 1_000);
    expect(countSelections(slow, usual, 3_000) > 30).toEqual(true);
  });

  it('treats a server that reports no slowdown as one at its usual speed', () => {
    const [unreported, usual] = [createCandidate('s1'), createCandidate('s2')];
    unreported.load.report({ ...IDLE, slowdown: null }, 1_000);
    usual.load.report(IDLE, 1_000);
    expect(countSelections(unreported, usual, 1_010) > 30).toEqual(true);
  });
});
