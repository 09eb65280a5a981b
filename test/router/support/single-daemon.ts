/** One daemon with a configuration and three servers, to which tests deliver single events. */
import type { Effect } from '../../../src/router/effects.js';
import type { AttemptResult, RouterEvent } from '../../../src/router/events.js';
import type { Configuration } from '../../../src/router/model/configuration.js';
import type { RequestOrigin } from '../../../src/router/proxying/request-origin.js';
import { instanceOf } from '../../../src/router/model/server-incarnation.js';
import type { ServerDescription } from '../../../src/router/model/server.js';
import { LAST_KEY } from '../../../src/router/model/identifiers.js';
import { OwnershipView } from '../../../src/router/ownership/ownership-view.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../../src/router/router-state.js';
import { BOUNDS_WITH_RETRIES } from './bounds.js';
import { fingerprintOf } from './fingerprints.js';
import { IDLE_CONDITIONS } from './simulated-server.js';
import { toAddress } from '../../support/addresses.js';

/** Two routes to a balanced service and one to a keyed service. */
export const CONFIGURATION: Configuration = {
  version: 1,
  routes: [
    {
      name: 'read',
      host: 'h.example',
      pathPrefix: '/read/',
      repeatable: true,
      timeout: 1_000,
      latencyObjective: 400,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: 'logs', weight: 1 }],
    },
    {
      name: 'book',
      host: 'h.example',
      pathPrefix: '/book/',
      repeatable: false,
      timeout: 1_000,
      latencyObjective: 400,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: 'logs', weight: 1 }],
    },
    {
      name: 'rack',
      host: 'h.example',
      pathPrefix: '/rack/',
      repeatable: true,
      timeout: 1_000,
      latencyObjective: 400,
      priority: 1,
      maxAttempts: 2,
      targets: [{ service: 'racks', weight: 1 }],
    },
  ],
  services: new Map([
    [
      'logs',
      {
        name: 'logs',
        keyed: false,
        connectionLimit: 10,
        healthPath: '/health',
        coldTime: 3_000,
        coldRequestRate: 4.2,
      },
    ],
    [
      'racks',
      {
        name: 'racks',
        keyed: true,
        connectionLimit: 50,
        healthPath: '/health',
        coldTime: 3_000,
        coldRequestRate: 4.2,
      },
    ],
  ]),
  limits: { headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 },
};

const OCTET_BITS = 8;

/** Describes a server of the balanced service. */
export function describeServer(id: string): ServerDescription {
  const number = Number(instanceOf(id).slice(1));
  const address = toAddress(`10.0.${number >> OCTET_BITS}.${number % 2 ** OCTET_BITS}:80`);
  return {
    id,
    service: 'logs',
    address,
    zone: 'z',
    slots: 2,
    draining: false,
    warmupLeft: 0,
    listedAt: 1,
    revision: 1,
  };
}

/** Fields of an event that says that the store answered at once. */
export const PROMPT_RESPONSE = { responseTime: 0, isOverdue: false } as const;

/** Reports that the store has confirmed all data of a daemon. */
export function confirmData(state: RouterState, now: number): void {
  for (const feed of FEEDS) {
    reduce(state, now, { kind: 'feedAnswered', feed, sentAt: now, confirmedAt: now, ...PROMPT_RESPONSE });
  }
}

const FEEDS = ['configuration', 'servers', 'evacuations'] as const;

/** Interval of tick events in milliseconds. */
const TICK = 20;

export class SingleDaemon {
  readonly state: RouterState;
  now = 1_000;
  effects: Effect[] = [];
  /** Whether connections to servers can be opened. */
  hasPath = true;
  /** Whether the store confirms this daemon's data at every event; otherwise the data grows old. */
  isDataConfirmed = true;

  constructor() {
    const identity = { daemon: 'd', zone: 'z', peerAddress: toAddress('10.0.0.9:1'), life: 1 };
    this.state = createRouterState(identity, BOUNDS_WITH_RETRIES, 1);
    this.event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    this.event({
      kind: 'serversListed',
      servers: [describeServer('s1'), describeServer('s2'), describeServer('s3')],
      revision: 5,
    });
    this.effects = [];
  }

  event(input: RouterEvent): void {
    if (this.isDataConfirmed) {
      confirmData(this.state, this.now);
    }
    const effects = reduce(this.state, this.now, input);
    this.effects.push(...effects);
    effects.forEach((effect) => this.#answerPathCheck(effect));
  }

  #answerPathCheck(effect: Effect): void {
    if (effect.kind === 'checkPath') {
      const failure = this.hasPath ? null : 'timeout';
      this.event({ kind: 'pathChecked', checkId: effect.checkId, failure, ...IDLE_CONDITIONS });
    }
  }

  tickUntil(end: number): void {
    for (; this.now < end; this.now += TICK) {
      this.event({ kind: 'tick' });
    }
  }

  receiveRequest(
    requestId: number,
    target: string,
    callerTimeout: number | null = 900,
    key: number | null = null,
    readDelay = 0,
    origin: RequestOrigin | null = null,
  ): void {
    const attemptId = `a-${requestId}`;
    const request = { requestId, attemptId, method: 'GET', host: 'h.example', target, callerTimeout, key };
    this.event({
      kind: 'requestArrived',
      ...request,
      fingerprint: fingerprintOf(target),
      readDelay,
      origin,
    });
  }

  ended(requestId: number, attempt: number, result: AttemptResult): void {
    this.event({ kind: 'attemptEnded', requestId, attempt, result });
  }

  /** Makes a server the owner of every key of the keyed service. */
  own(owner: string): void {
    const unit = { service: 'racks', from: 0, to: LAST_KEY, owner, fence: 3, granted: true, releasing: null };
    this.state.ownershipView = new OwnershipView(1, 1, [unit]);
    const changes = [{ id: owner, server: { ...describeServer(owner), service: 'racks' } }];
    this.event({ kind: 'serversChanged', changes, revision: 6 });
  }

  effectsOfKind<Kind extends Effect['kind']>(kind: Kind): Extract<Effect, { kind: Kind }>[] {
    return this.effects.filter((effect): effect is Extract<Effect, { kind: Kind }> => effect.kind === kind);
  }
}
