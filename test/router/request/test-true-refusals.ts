/** Guards against refusals that are not true: a request that may run once is told that it has not run, while an attempt may run or may have run. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { SeededRandom } from '../../../src/core/random.js';
import type { Effect } from '../../../src/router/effects.js';
import type { AttemptResult } from '../../../src/router/events.js';
import { CHECK_TIMED_OUT } from '../../../src/router/events.js';
import { fingerprintOf } from '../support/fingerprints.js';
import { describeProxy, HEARTBEAT } from '../support/heartbeats.js';
import { SingleDaemon } from '../support/single-daemon.js';

const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const ORIGIN = { daemon: 'd1', service: 'logs', attempts: 0, age: 30 };
const PROXIES = ['d2', 'd3'].map((daemon) => describeProxy(daemon));

/** Results that servers, proxies and connections give in no particular order. */
const SERVER_RESULTS: readonly AttemptResult[] = [
  { kind: 'rejected', status: 503, misdirected: false, load: null, attribution: 'id' },
  { kind: 'rejected', status: 421, misdirected: true, load: null, attribution: 'id' },
  { kind: 'notSent', reason: 'connect timeout', refused: false },
  { kind: 'notSent', reason: 'ECONNREFUSED', refused: true },
  { kind: 'withheld' },
  { kind: 'withdrawn', reason: 'too many connections are open' },
  { kind: 'lost', reason: 'reset', isResponseStarted: false, isClosedByServer: true },
  { kind: 'lost', reason: 'not HTTP', isResponseStarted: false, isClosedByServer: false },
  { kind: 'answered', status: 200, load: null },
  { kind: 'ambiguousAnswer', status: 503, load: null },
];
const PROXY_RESULTS: readonly AttemptResult[] = [
  { kind: 'refusedByProxy', reason: 'full', retryAfter: 80, attempts: 1, isPathLost: false, proofs: [] },
  { kind: 'refusedByProxy', reason: 'no path', retryAfter: 80, attempts: 0, isPathLost: true, proofs: [] },
  { kind: 'failedAtProxy', reason: 'lost there' },
  { kind: 'notSent', reason: 'connect timeout', refused: false },
  { kind: 'lost', reason: 'the link was reset', isResponseStarted: false, isClosedByServer: true },
];
const MAY_HAVE_RUN: ReadonlySet<AttemptResult['kind']> = new Set([
  'lost',
  'failedAtProxy',
  'answered',
  'ambiguousAnswer',
]);

function quarantine(daemon: SingleDaemon, targets: readonly string[]): void {
  const ended = ['x1', 'x2', 'x3'].map((server, index) => ({ server, age: 3_000 - index * 900 }));
  const fields = { ended, exonerated: [], quarantined: true, retested: false, heldBack: false };
  const records = targets.map((target) => ({ fingerprint: fingerprintOf(target).value, ...fields }));
  daemon.event({ kind: 'peerMessage', link: 0, message: { kind: 'crashNews', records } });
}

function hearProxies(daemon: SingleDaemon): void {
  const message = { ...HEARTBEAT, watchers: [], proxies: PROXIES, pathlessDaemons: 1, serviceLoads: [] };
  daemon.event({ kind: 'peerMessage', link: 0, message });
}

/** Lets a daemon lose its path to all servers, and names proxies to it. */
function losePath(daemon: SingleDaemon): void {
  daemon.hasPath = false;
  for (let request = 90_001; request <= 90_003; request += 1) {
    daemon.receiveRequest(request, `/read/${request}`);
  }
  daemon.tickUntil(daemon.now + 1_000);
  daemon.state.requests.clear();
  daemon.effects = [];
  hearProxies(daemon);
}

/** What a test knows of an attempt that a daemon has begun. */
interface KnownAttempt {
  readonly requestId: number;
  readonly attempt: number;
  readonly isAtProxy: boolean;
  state: 'in progress' | 'not run' | 'may have run';
}

/** Delivers random events to one daemon, and checks each answer of its own against the attempts that it rests on. */
class RandomRun {
  readonly untrue: string[] = [];
  refusals = 0;
  readonly #daemon = new SingleDaemon();
  readonly #random: SeededRandom;
  readonly #attempts: KnownAttempt[] = [];
  #nextRequest = 1;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    if (seed % 2 === 0) {
      losePath(this.#daemon);
    }
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step += 1) {
      this.#step();
      this.#takeEffects();
    }
  }

  #step(): void {
    const daemon = this.#daemon;
    const open = this.#attempts.filter(({ state }) => state === 'in progress');
    switch (this.#random.integerBelow(8)) {
      case 0:
      case 1:
        return this.#receive();
      case 2:
      case 3:
      case 4:
        return this.#end(this.#random.pick(open));
      case 5:
        return daemon.tickUntil(daemon.now + 20 * (1 + this.#random.integerBelow(10)));
      case 6: {
        const request = this.#random.pick([...daemon.state.requests.values()]);
        return request === undefined ? undefined : quarantine(daemon, [`/book/${request.id}`]);
      }
      default:
        return hearProxies(daemon);
    }
  }

  #receive(): void {
    const request = this.#nextRequest;
    this.#nextRequest += 1;
    const origin = this.#random.integerBelow(4) === 0 ? ORIGIN : null;
    this.#daemon.receiveRequest(request, `/book/${request}`, 900, null, 0, origin);
  }

  #end(open: KnownAttempt | undefined): void {
    if (open === undefined) {
      return;
    }
    const result = this.#random.pick(open.isAtProxy ? PROXY_RESULTS : SERVER_RESULTS) as AttemptResult;
    open.state = MAY_HAVE_RUN.has(result.kind) ? 'may have run' : 'not run';
    this.#daemon.ended(open.requestId, open.attempt, result);
  }

  #takeEffects(): void {
    for (const effect of this.#daemon.effects.splice(0)) {
      this.#takeEffect(effect);
    }
  }

  #takeEffect(effect: Effect): void {
    if (effect.kind === 'forward' || effect.kind === 'forwardToProxy') {
      const { requestId, attempt } = effect;
      const isAtProxy = effect.kind === 'forwardToProxy';
      this.#attempts.push({ requestId, attempt, isAtProxy, state: 'in progress' });
    } else if (effect.kind === 'cancel') {
      const cancelled = this.#attempts.find(
        ({ requestId, attempt }) => requestId === effect.requestId && attempt === effect.attempt,
      );
      if (cancelled !== undefined) {
        cancelled.state = 'may have run';
      }
    } else if (effect.kind === 'answer' && PROMISING_STATUSES.has(effect.status)) {
      this.refusals += 1;
      const unproven = this.#attempts.filter(
        ({ requestId, state }) => requestId === effect.requestId && state !== 'not run',
      );
      if (unproven.length > 0) {
        const states = unproven.map(({ attempt, state }) => `${attempt} ${state}`).join(', ');
        this.untrue.push(
          `request ${effect.requestId}: ${effect.status} ${effect.reason}; attempts ${states}`,
        );
      }
    }
  }
}

describe('a refusal', () => {
  // The proxy's server had begun the request: callers were told 503 at once.
  it('is not given for a request in progress at a proxy when its quarantine begins', () => {
    const daemon = new SingleDaemon();
    losePath(daemon);
    daemon.receiveRequest(1, '/book/1');
    expect(daemon.effectsOfKind('forwardToProxy').length).toEqual(1);
    quarantine(daemon, ['/book/1']);
    expect(daemon.effectsOfKind('cancel').length).toEqual(1);
    expect(daemon.effectsOfKind('answer').map(({ status }) => status)).toEqual([502]);
  });

  it('is not given to another daemon for a request in progress at a server when its quarantine begins', () => {
    const daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/book/1', 900, null, 0, ORIGIN);
    quarantine(daemon, ['/book/1']);
    expect(daemon.effectsOfKind('answer').map(({ status }) => status)).toEqual([502]);
  });

  it('is not given in place of an answer of the server that says nothing of whether the request ran', () => {
    const daemon = new SingleDaemon();
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, { kind: 'ambiguousAnswer', status: 503, load: null });
    const [answer] = daemon.effectsOfKind('answer');
    expect([answer?.status, answer?.retryAfter]).toEqual([502, null]);
    expect(daemon.effectsOfKind('forward').length).toEqual(1);
  });

  it('is given for a request that waits when its quarantine begins', () => {
    const daemon = new SingleDaemon();
    daemon.hasPath = false;
    daemon.receiveRequest(1, '/book/1');
    daemon.ended(1, 1, { kind: 'notSent', reason: CHECK_TIMED_OUT, refused: false });
    quarantine(daemon, ['/book/1']);
    expect(daemon.effectsOfKind('answer').map(({ status }) => status)).toEqual([503]);
  });

  it('follows only from proof for each attempt, in 400 random runs', () => {
    let refusals = 0;
    for (let seed = 1; seed <= 400; seed += 1) {
      const run = new RandomRun(seed);
      run.run(120);
      expect({ seed, untrue: run.untrue }).toEqual({ seed, untrue: [] });
      refusals += run.refusals;
    }
    expect(refusals > 1_000).toEqual(true);
  });
});
