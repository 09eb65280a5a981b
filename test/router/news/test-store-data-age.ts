import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';
import type { Effect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { Heartbeat, Report } from '../../../src/router/peers/messages.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { evacuationsConfirmedAt, storeDataConfirmedAt } from '../../../src/router/news/store-data-age.js';
import { BOUNDS } from '../support/bounds.js';
import { CONFIGURATION, describeServer, PROMPT_RESPONSE } from '../support/single-daemon.js';
import { toAddress } from '../../support/addresses.js';

const PARENT_LINK = -1;
const NEVER = Number.NEGATIVE_INFINITY;

let state: RouterState;
let now: number;

function handle(event: RouterEvent): Effect[] {
  return reduce(state, now, event);
}

function heartbeat(change: Partial<Heartbeat>): RouterEvent {
  const leader = {
    term: 3,
    leader: 'l',
    leaderLife: 7,
    leaderAddress: toAddress('10.0.0.8:70'),
    heardAge: 0,
  };
  const versions = {
    configurationVersion: 1,
    serversRevision: 1,
    serversPosition: 5,
    configurationRevision: 1,
  };
  const evacuations = { revision: 4, zones: [] };
  const ages = { confirmationAge: 0, leaderRevision: 4, newsAge: 100, evacuationsAge: 300 };
  const echo = { reportSentAt: now - 50, reportHeld: 20 };
  return {
    kind: 'peerMessage',
    link: PARENT_LINK,
    message: {
      kind: 'heartbeat',
      ...leader,
      ...versions,
      ...ages,
      ...echo,
      evacuations,
      daemons: 20,
      watchers: [],
      proxies: [],
      pathlessDaemons: 0,
      serviceLoads: [],
      ...change,
    },
  };
}

function answered(
  feed: 'configuration' | 'servers' | 'evacuations',
  confirmedAt: number | null,
): RouterEvent {
  return { kind: 'feedAnswered', feed, sentAt: now, confirmedAt, ...PROMPT_RESPONSE };
}

describe('the time up to which data is confirmed', () => {
  beforeEach(() => {
    state = createRouterState(
      { daemon: 'd', zone: 'z', peerAddress: toAddress('10.0.0.9:1'), life: 1 },
      BOUNDS,
      1,
    );
    now = 10_000;
    handle({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    handle({ kind: 'serversListed', servers: [describeServer('s1')], revision: 5 });
  });

  it('is what the store confirms for both the configuration and the servers', () => {
    expect(storeDataConfirmedAt(state)).toEqual(NEVER);
    handle(answered('configuration', 9_900));
    expect(storeDataConfirmedAt(state)).toEqual(NEVER);
    handle(answered('servers', 9_700));
    expect(storeDataConfirmedAt(state)).toEqual(9_700);
    handle(answered('servers', null));
    expect(storeDataConfirmedAt(state)).toEqual(9_700);
  });

  it('counts from the report that a heartbeat responds to, so that a delay of the heartbeat makes data older', () => {
    handle(heartbeat({ reportSentAt: 9_000, reportHeld: 200, newsAge: 100, evacuationsAge: 300 }));
    expect(storeDataConfirmedAt(state)).toEqual(9_100);
    expect(evacuationsConfirmedAt(state)).toEqual(8_900);
  });

  it('stays when a heartbeat responds to no report or confirms an earlier time', () => {
    handle(heartbeat({ reportSentAt: 9_000, reportHeld: 200 }));
    handle(heartbeat({ reportSentAt: 0, reportHeld: 0, newsAge: 0 }));
    handle(heartbeat({ reportSentAt: 8_000, reportHeld: 200 }));
    expect(storeDataConfirmedAt(state)).toEqual(9_100);
  });

  it('stays while updates are missing that the heartbeat covers', () => {
    handle(heartbeat({ serversPosition: 6 }));
    handle(heartbeat({ configurationVersion: 2 }));
    expect(storeDataConfirmedAt(state)).toEqual(NEVER);
    handle(heartbeat({}));
    expect(storeDataConfirmedAt(state)).toEqual(9_870);
  });

  it('is forgotten after a suspension, and is not restored by what was sent before it', () => {
    handle(heartbeat({}));
    handle({ kind: 'resumed', length: 3_000, isCounted: false });
    expect(storeDataConfirmedAt(state)).toEqual(NEVER);
    expect(evacuationsConfirmedAt(state)).toEqual(NEVER);
    handle(heartbeat({ reportSentAt: now - 50 }));
    for (const feed of ['configuration', 'servers', 'evacuations'] as const) {
      handle({ kind: 'feedAnswered', feed, sentAt: now - 50, confirmedAt: now + 100, ...PROMPT_RESPONSE });
    }
    expect(storeDataConfirmedAt(state)).toEqual(NEVER);
    expect(evacuationsConfirmedAt(state)).toEqual(NEVER);
    now += 300;
    handle(heartbeat({ reportSentAt: now - 50, reportHeld: 0, newsAge: 0 }));
    expect(storeDataConfirmedAt(state)).toEqual(now - 50);
  });

  it('is told to each child by its own report', () => {
    handle(heartbeat({ reportSentAt: now, reportHeld: 0, newsAge: 100 }));
    handle({ kind: 'peerMessage', link: 1, message: report('c1', 500) });
    now += 40;
    handle({ kind: 'peerMessage', link: 2, message: report('c2', 77_000) });
    const heartbeats = handle({ kind: 'tick' }).flatMap((effect) =>
      effect.kind === 'sendToChildren' && effect.message.kind === 'heartbeat'
        ? [[effect.link, effect.message.reportSentAt, effect.message.reportHeld, effect.message.newsAge]]
        : [],
    );
    expect(heartbeats).toEqual([
      [1, 500, 40, 140],
      [2, 77_000, 0, 140],
    ]);
  });
});

function report(daemon: string, sentAt: number): Report {
  return {
    kind: 'report',
    daemon,
    life: 2,
    address: toAddress(`10.0.0.${daemon.slice(1)}:70`),
    zone: 'z',
    configurationVersion: 1,
    serversRevision: 1,
    serversPosition: 5,
    ownershipSequence: 0,
    viewTerm: 0,
    viewSequence: 0,
    daemons: 1,
    started: [],
    evacuations: null,
    sentAt,
    overloaded: false,
    failedRelay: '',
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
}
