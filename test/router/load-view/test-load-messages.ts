import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import { decodePeerMessage, encodePeerMessage } from '../../../src/router-runtime/peer-codec.js';
import type {
  AnnouncedServiceLoad,
  ReportedServiceLoad,
} from '../../../src/router/load-view/load-messages.js';
import { loadViewOf } from '../../../src/router/load-view/load-view-of.js';
import type { Heartbeat, Report } from '../../../src/router/peers/messages.js';
import { SingleDaemon } from '../support/single-daemon.js';
import { toAddress } from '../../support/addresses.js';

const LINK = 4;
const REPORT: Report = {
  kind: 'report',
  daemon: 'd2',
  life: 7,
  address: toAddress('10.0.0.2:1'),
  zone: 'z',
  configurationVersion: 1,
  serversRevision: 0,
  serversPosition: 0,
  ownershipSequence: 0,
  viewTerm: 0,
  viewSequence: 0,
  daemons: 1,
  started: [],
  overloaded: false,
  failedRelay: '',
  evacuations: null,
  sentAt: 5,
  samples: [],
  times: [],
  rests: [],
  reach: null,
  proxies: [],
  needsProxies: false,
  pathlessDaemons: 0,
  serviceLoads: [],
  loadDaemons: 1,
  demandRose: false,
};
const REPORTED: ReportedServiceLoad = {
  service: 'logs',
  demands: [{ priority: 0, requests: 20, answered: 10, workTime: 500 }],
  groups: [{ reserved: false, readings: 12, load: 18, slots: 24 }],
  span: 500,
};
const HEARTBEAT: Heartbeat = {
  kind: 'heartbeat',
  term: 3,
  leader: 'd9',
  leaderLife: 9,
  leaderAddress: toAddress('10.0.0.8:1'),
  heardAge: 0,
  confirmationAge: 0,
  leaderRevision: 9,
  newsAge: 0,
  evacuationsAge: 0,
  reportSentAt: 0,
  reportHeld: 0,
  daemons: 12,
  watchers: [],
  configurationVersion: 1,
  serversRevision: 0,
  serversPosition: 0,
  configurationRevision: 0,
  evacuations: null,
  proxies: [],
  pathlessDaemons: 0,
  serviceLoads: [],
};
const ANNOUNCED: AnnouncedServiceLoad = {
  service: 'logs',
  demands: [{ priority: 0, slots: 12.5 }],
  groups: [{ reserved: false, meanLoad: 1.5 }],
  age: 40,
};

let daemon: SingleDaemon;

function receive(message: Report | Heartbeat): void {
  const decoded = decodePeerMessage(encodePeerMessage(message), 'peer')._unsafeUnwrap();
  daemon.event({ kind: 'peerMessage', link: LINK, message: decoded });
}

/** Returns the counts that this daemon reports next. */
function nextReport(): Report | undefined {
  daemon.effects = [];
  daemon.tickUntil(daemon.now + 600);
  const messages = daemon.effectsOfKind('sendToParent').map(({ message }) => message);
  return messages.find((message): message is Report => message.kind === 'report');
}

function malformed(): { counted: number; logged: number } {
  const logged = daemon.effectsOfKind('log').filter(({ event }) => event === 'malformed_load_view').length;
  return { counted: daemon.state.counters.malformed_load_views, logged };
}

describe('the load view in messages', () => {
  beforeEach(() => {
    daemon = new SingleDaemon();
    daemon.tickUntil(1_200);
  });

  it('is added to the counts of a relay', () => {
    receive({ ...REPORT, serviceLoads: [REPORTED] });
    receive({ ...REPORT, serviceLoads: [REPORTED] });
    const sent = nextReport();
    expect(sent?.loadDaemons).toEqual(2);
    expect(sent?.serviceLoads[0]?.demands).toEqual([
      { priority: 0, requests: 40, answered: 20, workTime: 1_000 },
    ]);
    expect(sent?.serviceLoads[0]?.groups).toEqual([{ reserved: false, readings: 24, load: 36, slots: 48 }]);
    expect(nextReport()?.serviceLoads).toEqual([]);
  });

  it('is adopted from a heartbeat with its age, and not used when it is old', () => {
    receive({ ...HEARTBEAT, serviceLoads: [ANNOUNCED] });
    const { now } = daemon;
    const view = loadViewOf(daemon.state, 'logs', now);
    expect([view.source, view.demandSlots(0), view.meanLoad(false)]).toEqual(['fleet', 12.5, 1.5]);
    expect(loadViewOf(daemon.state, 'logs', now + 1_460).source).toEqual('fleet');
    expect(loadViewOf(daemon.state, 'logs', now + 1_461).source).toEqual('own');
  });

  // Guards against a failure during an update of the daemons' software.
  it('is unknown in messages of an earlier version, which omit the fields', () => {
    receive({ ...REPORT, serviceLoads: [], loadDaemons: 0 });
    receive(HEARTBEAT);
    expect(nextReport()?.loadDaemons).toEqual(1);
    expect(loadViewOf(daemon.state, 'logs', daemon.now).source).toEqual('own');
    expect(malformed()).toEqual({ counted: 0, logged: 0 });
  });

  // Guards against demand that is not a number, which would decide on every server.
  it('ignores malformed reports, counts them and logs them once for each service', () => {
    const [demand] = REPORTED.demands as [ReportedServiceLoad['demands'][number]];
    const [group] = REPORTED.groups as [ReportedServiceLoad['groups'][number]];
    const faults: Partial<ReportedServiceLoad>[] = [
      { demands: [{ ...demand, requests: -1 }] },
      { demands: [{ ...demand, priority: Number.NaN }] },
      { demands: [{ ...demand, workTime: -500 }] },
      { groups: [{ ...group, load: -3 }] },
      { span: -20 },
    ];
    for (const fault of faults) {
      receive({ ...REPORT, serviceLoads: [{ ...REPORTED, ...fault }] });
    }
    expect(malformed()).toEqual({ counted: faults.length, logged: 1 });
    expect(nextReport()?.serviceLoads).toEqual([]);
  });

  // Guards against a good view that is replaced by a malformed one.
  it('keeps the former view when a heartbeat is malformed', () => {
    receive({ ...HEARTBEAT, serviceLoads: [ANNOUNCED] });
    for (const slots of [-1, Number.NaN, Number.POSITIVE_INFINITY]) {
      receive({ ...HEARTBEAT, serviceLoads: [{ ...ANNOUNCED, demands: [{ priority: 0, slots }] }] });
    }
    expect(loadViewOf(daemon.state, 'logs', daemon.now).demandSlots(0)).toEqual(12.5);
    expect(malformed()).toEqual({ counted: 3, logged: 1 });
  });

  // Guards against a report that grows with services that no configuration has.
  it('ignores services that are unknown or keyed', () => {
    for (const service of ['racks', 'none']) {
      receive({ ...REPORT, serviceLoads: [{ ...REPORTED, service }] });
      receive({ ...HEARTBEAT, serviceLoads: [{ ...ANNOUNCED, service }] });
      expect(loadViewOf(daemon.state, service, daemon.now).source).toEqual('own');
    }
    expect(nextReport()?.serviceLoads).toEqual([]);
  });
});
