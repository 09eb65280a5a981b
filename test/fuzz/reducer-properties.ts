/** Properties of the reducer under numbers from outside of any size: no event ends it, and none takes more than a bounded number of steps. */
import fc from 'fast-check';
import type { RouterEvent } from '../../src/router/events.js';
import type { Configuration } from '../../src/router/model/configuration.js';
import type { ServerDescription } from '../../src/router/model/server.js';
import { heartbeatWith } from '../router/support/peer-messages.js';
import { CONFIGURATION, SingleDaemon } from '../router/support/single-daemon.js';
import { fingerprintOf } from '../router/support/fingerprints.js';
import { toAddress } from '../support/addresses.js';
import { StepCounter } from '../support/counted-steps.js';
import type { FuzzProperty } from './fuzz-property.js';
import { listSlots, loopOverSlots } from './planted-number-faults.js';

/** Created with the module, before any of the counted code runs. */
const counter = new StepCounter();

/** Steps of one run: two dozen events and a second of ticks take a quarter of it. */
const MAX_STEPS = 40_000;
const TICKS_LENGTH = 1_000;
/** Requests at the end of a run, when servers have answered. */
const LAST_TARGETS = ['/book/1', '/book/2', '/book/3', '/book/4', '/book/5', '/rack/1'];

/** Largest number of slots where steps are counted: a loop over as many ends soon enough for a test to report it. */
const MOST_COUNTED_SLOTS = 1e6;
const LARGE = [1e5, 1e6, 2 ** 31, 2 ** 32 + 1, Number.MAX_SAFE_INTEGER] as const;
/** Any finite number that is not negative. */
const amount = fc.oneof(
  fc.constantFrom(0, 5e-324, 0.5, 1, 2, 3, 1e308, ...LARGE),
  fc.double({ min: 0, noNaN: true, noDefaultInfinity: true }),
);
/** Any number at all, as in the messages of a faulty daemon. */
const anyNumber = fc.oneof(amount, fc.double(), fc.constantFrom(-1, Number.NaN, Number.POSITIVE_INFINITY));
const count = fc.oneof(fc.constantFrom(1, 2, 3, ...LARGE), fc.maxSafeNat());

const anyServer: fc.Arbitrary<ServerDescription> = fc.record({
  id: fc.constantFrom('s2', 's7', 's7#1', 's8'),
  service: fc.constantFrom('logs', 'racks', 'other'),
  address: fc.constantFrom(toAddress('10.0.0.7:80'), toAddress('10.0.0.8:1')),
  zone: fc.constantFrom('z', 'y'),
  slots: count.map((slots) => Math.max(1, slots)),
  draining: fc.boolean(),
  warmupLeft: amount,
  listedAt: fc.double({ noNaN: true }),
  revision: fc.oneof(fc.constantFrom(6, 7), fc.double({ noNaN: true })),
});

const configurationChanges = fc.record({
  timeout: amount,
  latencyObjective: amount,
  priority: fc.double({ noNaN: true, noDefaultInfinity: true }),
  maxAttempts: count,
  weight: amount,
  connectionLimit: fc.double({ noNaN: true, noDefaultInfinity: true }),
  coldTime: amount,
  coldRequestRate: amount,
  version: amount,
});

type ConfigurationChanges = typeof configurationChanges extends fc.Arbitrary<infer Value> ? Value : never;

function withChanges(changes: ConfigurationChanges): Configuration {
  const { timeout, latencyObjective, priority, maxAttempts, weight, version } = changes;
  const { connectionLimit, coldTime, coldRequestRate } = changes;
  const routes = CONFIGURATION.routes.map((route, index) => {
    const targets = [...route.targets, { service: 'racks', weight }];
    const limits = { timeout: Math.max(1, timeout), latencyObjective: Math.max(1, latencyObjective) };
    return index === 0 ? { ...route, ...limits, priority, maxAttempts, targets } : route;
  });
  const services = [...CONFIGURATION.services].map(
    ([name, service]) => [name, { ...service, connectionLimit, coldTime, coldRequestRate }] as const,
  );
  return { ...CONFIGURATION, version, routes, services: new Map(services) };
}

const load = fc.record({
  running: amount,
  waiting: amount,
  slots: count,
  slowdown: fc.option(amount),
});

let nextRequest = 1;

function request(callerTimeout: number | null, key: number | null, target: string): RouterEvent {
  nextRequest += 1;
  const identity = {
    requestId: nextRequest,
    attemptId: `a-${nextRequest}`,
    fingerprint: fingerprintOf(target),
  };
  const message = { method: 'GET', host: 'h.example', target, callerTimeout, key };
  return { kind: 'requestArrived', ...identity, ...message, readDelay: 0, origin: null };
}

const routerEvent: fc.Arbitrary<RouterEvent> = fc.oneof(
  fc.array(anyServer, { minLength: 1, maxLength: 4 }).map((servers): RouterEvent => {
    const changes = servers.map((server) => ({ id: server.id.replace(/#.*/, ''), server }));
    return { kind: 'serversChanged', changes, revision: 7 };
  }),
  configurationChanges.map((changes): RouterEvent => {
    return { kind: 'configuration', configuration: withChanges(changes), revision: 7 };
  }),
  fc
    .tuple(fc.option(amount), fc.option(fc.nat(65_535)), fc.constantFrom('/read/1', '/rack/1', '/book/1'))
    .map(([timeout, key, target]) => request(timeout, key, target)),
  fc.tuple(fc.constantFrom('s1', 's2', 's7'), amount).map(([server, rest]): RouterEvent => {
    return { kind: 'serverNoticed', server, notice: { leaving: false, rest } };
  }),
  fc.tuple(fc.constantFrom('s1', 's2', 's7'), amount).map(([server, reading]): RouterEvent => {
    return { kind: 'serverLimitRead', server, reading, sentAt: 1_000 };
  }),
  fc
    .record({
      daemons: anyNumber,
      term: fc.nat(),
      heardAge: anyNumber,
      confirmationAge: anyNumber,
      newsAge: anyNumber,
      reportHeld: anyNumber,
      leaderRevision: anyNumber,
      pathlessDaemons: anyNumber,
      configurationRevision: anyNumber,
      serversPosition: anyNumber,
    })
    .map((fields): RouterEvent => ({ kind: 'peerMessage', link: -1, message: heartbeatWith(fields) })),
  fc
    .tuple(anyNumber, fc.array(anyServer, { maxLength: 3 }), anyNumber)
    .map(([base, servers, revision]): RouterEvent => {
      const changes = servers.map((server) => ({ id: server.id.replace(/#.*/, ''), server }));
      return {
        kind: 'peerMessage',
        link: -1,
        message: { kind: 'serverNews', base, completeFrom: base, revision, changes },
      };
    }),
  fc.tuple(anyNumber, anyNumber).map(([fence, sequence]): RouterEvent => {
    const unit = { service: 'racks', from: 0, to: 65_535, owner: 's7', fence, granted: true };
    return {
      kind: 'peerMessage',
      link: -1,
      message: { kind: 'ownership', term: 3, sequence, base: 0, baseTerm: 0, units: [unit] },
    };
  }),
  fc
    .tuple(fc.constantFrom('leader' as const, 'ownership' as const), anyNumber)
    .map(([object, term]): RouterEvent => {
      const record = {
        term,
        daemon: 'x',
        life: 5,
        address: '10.0.0.3:1',
        beat: 0,
        settled: false,
        resigned: false,
      };
      const table = { writeId: 'w', table: { term, nextFence: term, units: [] } };
      const value = object === 'leader' ? record : table;
      return { kind: 'objectRead', object, sentAt: 1_000, outcome: { kind: 'found', revision: 9, value } };
    }),
);

/** Applies an event to a daemon, and answers what it sends to servers. */
function applyTo(
  daemon: SingleDaemon,
  event: RouterEvent,
  reading: typeof load extends fc.Arbitrary<infer Value> ? Value : never,
): void {
  const sent = daemon.effects.length;
  daemon.event(event);
  for (const effect of daemon.effects.slice(sent)) {
    if (effect.kind === 'forward' && effect.server !== 's7') {
      daemon.ended(effect.requestId, effect.attempt, { kind: 'answered', status: 200, load: reading });
    }
  }
}

/** Returns an event without more slots than a number. */
function withFewerSlots(event: RouterEvent, most: number): RouterEvent {
  if (event.kind !== 'serversChanged') {
    return event;
  }
  const changes = event.changes.map(({ id, server }) => {
    return { id, server: server === null ? null : { ...server, slots: Math.min(server.slots, most) } };
  });
  return { ...event, changes };
}

const anyEvents = fc.array(routerEvent, { minLength: 4, maxLength: 24 });

/**
 * @param most largest number of slots
 * @param fault runs with each event, as a part of the product would; null: none is planted
 */
function takesBoundedSteps(most: number, fault: ((event: RouterEvent) => unknown) | null) {
  // What a planted fault needs is known, so that its counterexample isn't made smaller.
  const tried = fault === null ? anyEvents : fc.noShrink(anyEvents);
  return fc.property(tried, load, (events, reading) => {
    const steps = counter.count(() => {
      const daemon = new SingleDaemon();
      for (const anyEvent of events) {
        const event = withFewerSlots(anyEvent, most);
        fault?.(event);
        applyTo(daemon, event, reading);
      }
      LAST_TARGETS.forEach((target) => applyTo(daemon, request(null, 7, target), reading));
      daemon.tickUntil(daemon.now + TICKS_LENGTH);
    });
    return steps > 0 && steps <= MAX_STEPS;
  });
}

const SHORT_RUNS = 60;

export const REDUCER_PROPERTIES: readonly FuzzProperty[] = [
  {
    name: 'events take a bounded number of steps whatever numbers they hold',
    build: () => takesBoundedSteps(MOST_COUNTED_SLOTS, null),
    buildWithPlantedFault: () => takesBoundedSteps(MOST_COUNTED_SLOTS, loopOverSlots),
    shortRuns: SHORT_RUNS,
  },
  {
    name: 'no number in an event throws in the reducer',
    build: () => takesBoundedSteps(Number.MAX_SAFE_INTEGER, null),
    buildWithPlantedFault: () => takesBoundedSteps(Number.MAX_SAFE_INTEGER, listSlots),
    shortRuns: SHORT_RUNS,
  },
];
