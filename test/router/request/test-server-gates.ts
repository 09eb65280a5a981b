/** A server that leaves, wants rest, is cold and names a limit at once: the first condition that holds is named, and each ends by itself. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { Permits } from '../../../src/router/limits/permits.js';
import { ZoneEvacuations } from '../../../src/router/news/zone-evacuations.js';
import { ServerRest } from '../../../src/router/notices/server-rest.js';
import { closedGate, type GatedServer, type GateTerms } from '../../../src/router/request/server-gates.js';
import { ServerLoad } from '../../../src/router/request/server-load.js';
import { ServiceProfile } from '../../../src/router/request/service-profile.js';
import { Turns } from '../../../src/router/sharing/turns.js';
import { server } from '../support/single-daemon.js';

const NOW = 10_000;
const GRACE = 1_000;

function troubledServer(): GatedServer {
  const rest = new ServerRest();
  rest.ask(2_000, NOW);
  return {
    server: server('s1'),
    load: new ServerLoad(new ServiceProfile(), 2, 11),
    coldUntil: NOW + 4_000,
    coldTurns: new Turns(0.5),
    rest,
    drainingSince: null,
    permits: new Permits(0),
  };
}

function terms(now: number, rate: number | null): GateTerms {
  return {
    now,
    evacuations: new ZoneEvacuations(),
    leavingGrace: GRACE,
    evacuationGrace: 0,
    forgivenFailures: 0,
    coldInterval: 60_000,
    mostInFlight: 5,
    shareOf: () => (rate === null ? null : { rate, daemons: 11, hasGrants: true }),
    seeker: { id: 1, priority: 1, holdUntil: now + 100 },
  };
}

describe('the conditions under which a server gets requests', () => {
  it('hold one after the other', () => {
    const known = troubledServer();
    expect(closedGate(known, terms(NOW, 3))).toEqual('resting');
    expect(closedGate(known, terms(NOW + 2_000, 3))).toEqual('cold');
    expect(closedGate(known, terms(NOW + 4_000, 3))).toEqual('awaits_permit');
    expect(closedGate(known, terms(NOW + 4_000, null))).toEqual(null);
  });

  it('begin with leaving, whatever else there is', () => {
    const known = { ...troubledServer(), drainingSince: NOW - GRACE };
    expect(closedGate(known, terms(NOW, 3))).toEqual('leaving');
    expect(closedGate({ ...known, drainingSince: NOW }, terms(NOW, 3))).toEqual('resting');
  });

  it('end with a limit that leaves no place in time', () => {
    const known = { ...troubledServer(), rest: new ServerRest(), coldUntil: 0 };
    known.permits.noteDenied(1, 1, 500, NOW);
    expect(closedGate(known, terms(NOW, 3))).toEqual('at_limit');
    known.permits.noteGranted(2, NOW);
    expect(closedGate(known, terms(NOW, 3))).toEqual(null);
  });
});
