import { expect } from 'earl';
import { describe, it } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { decodePeerMessage, encodePeerMessage } from '../../src/router-runtime/peer-codec.js';
import type { PeerMessage } from '../../src/router/peers/messages.js';
import { router } from '../../src/wire/generated/router.js';
import { CONFIGURATION } from '../router/support/router-simulation.js';
import { toAddress } from '../support/addresses.js';

const LARGE = {
  ...CONFIGURATION,
  routes: Array.from({ length: 1_400 }, (_, index) => ({
    ...(CONFIGURATION.routes[0] as (typeof CONFIGURATION.routes)[number]),
    name: `route-${index}`,
  })),
};
const SERVER = {
  id: 's1',
  service: 'racks',
  address: toAddress('10.0.0.1:80'),
  zone: 'z1',
  slots: 2,
  draining: true,
};

const MESSAGES: readonly PeerMessage[] = [
  { kind: 'redirect', address: toAddress('10.0.0.1:70') },
  {
    kind: 'leaderNotice',
    term: 3,
    leader: 'd1',
    leaderLife: 2 ** 46,
    leaderAddress: toAddress('10.0.0.1:70'),
  },
  {
    kind: 'serverNews',
    base: 5,
    completeFrom: 4,
    revision: 9,
    changes: [
      { id: 's1', server: { ...SERVER, warmupLeft: 1_500, listedAt: 4, revision: 8 } },
      { id: 's2', server: null },
    ],
  },
  {
    kind: 'heartbeat',
    term: 3,
    leader: 'd1',
    leaderLife: 2 ** 46,
    leaderAddress: toAddress('10.0.0.1:70'),
    heardAge: 5,
    confirmationAge: 900,
    leaderRevision: 8,
    newsAge: 10,
    evacuationsAge: 20,
    reportSentAt: 5_000.5,
    reportHeld: 120,
    serversPosition: 9,
    configurationRevision: 8,
    daemons: 74,
    watchers: ['d2'],
    proxies: [
      {
        daemon: 'd3',
        zone: 'a',
        address: toAddress('10.0.0.3:7'),
        requests: 4,
        reached: [{ service: 'racks', age: 12.5 }],
        lostServices: ['logs'],
        lostServers: ['s7#17'],
      },
    ],
    pathlessDaemons: 2,
    serviceLoads: [
      {
        service: 'logs',
        demands: [{ priority: 0, slots: 12.5 }],
        groups: [{ reserved: true, meanLoad: 0.75 }],
        age: 40,
      },
    ],
    configurationVersion: 7,
    serversRevision: 9,
    evacuations: { revision: 2 ** 40, zones: ['z1', 'z2'] },
  },
  {
    kind: 'limitNews',
    limits: [
      { server: 's1', limit: { rate: 3.2 }, age: 40 },
      { server: 's2', limit: { rate: 0 }, age: 0 },
      { server: 's3', limit: null, age: 12 },
    ],
  },
  {
    kind: 'permitAsk',
    server: 's1',
    daemon: 'd1',
    requestId: 2 ** 40,
    priority: 0,
    wait: 87.5,
    path: [3, 9],
  },
  {
    kind: 'permitAnswer',
    server: 's1',
    requestId: 7,
    priority: 2,
    granted: true,
    nextPlaceIn: 0.25,
    path: [],
  },
  { kind: 'configurationNews', revision: 4, configuration: CONFIGURATION },
  { kind: 'configurationNews', revision: 5, configuration: LARGE },
];

const ODD_ADDRESSES = ['', 'nowhere', '127.0.0.1:65536', '999.0.0.1:80', '10.0.0.1:0', '127.0.0.1:x'];

describe('peer message codec', () => {
  for (const message of MESSAGES) {
    it(`decodes a message to the original: ${message.kind}`, () => {
      const decoded = decodePeerMessage(encodePeerMessage(message), 'peer');
      expect(decoded._unsafeUnwrap()).toEqual(message);
    });
  }

  it('decodes evacuations as null when the sender does not know them', () => {
    const heartbeat = { term: 3, leader: 'd1', leaderAddress: toAddress('10.0.0.1:70') };
    const decoded = decodePeerMessage(router.Frame.encode({ heartbeat }).finish(), 'peer');
    expect(decoded.isOk() && decoded.value.kind === 'heartbeat' && decoded.value.evacuations).toEqual(null);
  });

  it('compresses a configuration of 1,400 routes to less than 30 kB', () => {
    const bytes = encodePeerMessage({ kind: 'configurationNews', revision: 5, configuration: LARGE });
    expect(bytes.length < 30_000).toEqual(true);
  });

  // A connection to such an address can't even be created: the exception would end the process.
  it('rejects a message whose own address is none', () => {
    for (const address of ODD_ADDRESSES) {
      const frames: router.IFrame[] = [
        { heartbeat: { term: 3, leader: 'd1', leaderAddress: address } },
        { leaderNotice: { term: 3, leader: 'd1', leaderAddress: address } },
        { redirect: { address } },
        { report: { daemon: 'd1', address } },
      ];
      for (const frame of frames) {
        const decoded = decodePeerMessage(router.Frame.encode(frame as router.Frame).finish(), 'peer');
        expect(decoded.isErr() && decoded.error.message.includes('ddress: allowed:')).toEqual(true);
      }
    }
  });

  // One odd entry that a relay of another version passes on must not cost the others of its list.
  it('leaves out the items whose address is none, and names them', () => {
    const sound = { daemon: 'd2', address: '10.0.0.2:71' };
    const none = { daemon: 'd4', address: '' };
    for (const address of ODD_ADDRESSES.filter((text) => text !== '')) {
      const odd = { daemon: 'd3', address };
      const report = {
        daemon: 'd1',
        address: '10.0.0.1:70',
        failedRelay: address,
        reach: odd,
        proxies: [odd, none],
      };
      const heartbeat = { leaderAddress: '10.0.0.1:70', proxies: [odd, sound, none] };
      const entries = [
        { id: 's1', server: { id: 's1', address } },
        { id: 's2', server: { id: 's2', address: '10.0.0.2:80' } },
      ];
      const problems: string[] = [];
      const decode = (frame: router.IFrame): PeerMessage =>
        decodePeerMessage(router.Frame.encode(frame as router.Frame).finish(), 'peer', (problem) =>
          problems.push(problem),
        )._unsafeUnwrap();
      expect(decode({ report })).toLooseEqual(
        expect.subset({ kind: 'report', failedRelay: '', reach: null, proxies: [expect.subset(none)] }),
      );
      expect(decode({ heartbeat })).toLooseEqual(
        expect.subset({ proxies: [expect.subset(sound), expect.subset(none)] }),
      );
      expect(decode({ serverNews: { changes: entries } })).toLooseEqual(
        expect.subset({ changes: [{ id: 's1', server: null }, expect.subset({ id: 's2' })] }),
      );
      expect(problems.map((problem) => problem.split(':')[0])).toEqual([
        'failedRelay',
        'proxy d3',
        'proxy d3',
        'proxy d3',
        'server s1',
      ]);
    }
  });

  it('rejects garbage, compressed garbage and messages that are too large when decompressed', () => {
    const oversized = deflateRawSync(Buffer.alloc(17 * 1024 * 1024));
    const malformed = [
      Buffer.from('nonsense'),
      Buffer.alloc(0),
      router.Frame.encode({ deflated: Buffer.from('nonsense') }).finish(),
      router.Frame.encode({ deflated: oversized }).finish(),
    ];
    for (const bytes of malformed) {
      const decoded = decodePeerMessage(bytes, '10.0.0.9:1');
      expect(decoded.isErr() && decoded.error.message.includes('10.0.0.9:1')).toEqual(true);
    }
  });
});
