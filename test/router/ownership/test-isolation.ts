import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { AttemptResult, RouterEvent } from '../../../src/router/events.js';
import type { Ownership } from '../../../src/router/peers/messages.js';
import { reduce } from '../../../src/router/reducer.js';
import { createRouterState, notReadyReason, type RouterState } from '../../../src/router/router-state.js';
import { CONFIGURATION, SERVICE } from '../support/router-simulation.js';
import { BOUNDS_WITH_RETRIES } from '../support/bounds.js';
import { confirmData } from '../support/single-daemon.js';
import { fingerprintOf } from '../support/fingerprints.js';
import { toAddress } from '../../support/addresses.js';

const NO_ANSWER = { waited: 400, reason: 'no answer', isConclusive: true } as const;
const MISDIRECTED: AttemptResult = {
  kind: 'rejected',
  status: 421,
  misdirected: true,
  load: null,
  attribution: 'id',
};

/** A simulated follower with a view of ownership and a clock of its own. */
class Follower {
  now = 1_000;
  readonly state: RouterState;
  #nextRequest = 1;

  constructor() {
    this.state = createRouterState(
      { daemon: 'd', zone: 'z', peerAddress: toAddress('10.0.0.9:1'), life: 1 },
      BOUNDS_WITH_RETRIES,
      1,
    );
    this.event({ kind: 'configuration', configuration: CONFIGURATION, revision: 1 });
    const description = {
      id: 's1',
      service: SERVICE,
      address: toAddress('10.0.0.1:80'),
      zone: 'z',
      slots: 4,
    };
    const server = { ...description, draining: false, warmupLeft: 0, listedAt: 1, revision: 1 };
    this.event({ kind: 'serversListed', servers: [server], revision: 5 });
    confirmData(this.state, this.now);
    this.readLeader();
    const unit = { service: SERVICE, from: 0, to: 65_535, owner: 's1', fence: 3, granted: true };
    const statement: Ownership = {
      kind: 'ownership',
      term: 1,
      sequence: 1,
      base: 0,
      baseTerm: 0,
      units: [unit],
    };
    this.event({ kind: 'peerMessage', link: 1, message: statement });
  }

  /** Delivers an event. The store answers no request for a confirmation. */
  event(event: RouterEvent): void {
    const effects = reduce(this.state, this.now, event);
    for (const effect of effects) {
      if (effect.kind === 'confirmFeed') {
        this.event({ kind: 'feedFailed', feed: effect.feed, call: 'watch', ...NO_ANSWER });
      }
    }
  }

  readLeader(): void {
    const description = { term: 1, daemon: 'other', life: 7, address: toAddress('10.0.0.8:1') };
    const value = { ...description, beat: 1, settled: true, resigned: false };
    const outcome = { kind: 'found', revision: 3, value } as const;
    this.event({ kind: 'objectRead', object: 'leader', sentAt: this.now, outcome });
  }

  /** Advances the time without any updates. */
  advanceTime(milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 20) {
      this.event({ kind: 'tick' });
    }
  }

  /** Sends a request that its owner rejects. */
  rejectRequest(): void {
    const requestId = this.#nextRequest;
    this.#nextRequest += 1;
    const description = { method: 'GET', host: 'h.example', target: '/racks/1', callerTimeout: 900, key: 7 };
    const fingerprint = fingerprintOf(`request ${requestId}`);
    this.event({
      kind: 'requestArrived',
      requestId,
      attemptId: `a-${requestId}`,
      fingerprint,
      readDelay: 0,
      origin: null,
      ...description,
    });
    this.event({ kind: 'attemptEnded', requestId, attempt: 1, result: MISDIRECTED });
    this.event({ kind: 'tick' });
  }

  get isReady(): boolean {
    return notReadyReason(this.state) === null;
  }
}

// Guards against daemons that are cut off but stay ready: for 12 s they rejected 200 requests per second by a
// view that had long been stale.
describe('a daemon without ownership updates', () => {
  it('is not ready while it is cut off and owners reject its requests, and is ready again after an update', () => {
    const follower = new Follower();
    follower.advanceTime(2_000);
    for (let request = 0; request < 3; request += 1) {
      follower.rejectRequest();
    }
    expect(follower.isReady).toEqual(false);
    follower.readLeader();
    follower.advanceTime(20);
    expect(follower.isReady).toEqual(true);
  });

  it('stays ready while its view proves correct', () => {
    const follower = new Follower();
    follower.advanceTime(6_000);
    expect(follower.isReady).toEqual(true);
  });

  it('stays ready when owners reject requests but updates are available', () => {
    const follower = new Follower();
    for (let request = 0; request < 6; request += 1) {
      follower.rejectRequest();
    }
    expect(follower.isReady).toEqual(true);
  });
});
