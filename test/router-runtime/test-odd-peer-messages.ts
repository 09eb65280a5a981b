/** Guards against well-formed frames of a peer whose fields no daemon of this version would send. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { reduce } from '../../src/router/reducer.js';
import { createRouterState, type RouterState } from '../../src/router/router-state.js';
import { decodePeerMessage } from '../../src/router-runtime/peer-codec.js';
import { router } from '../../src/wire/generated/router.js';
import { toAddress } from '../support/addresses.js';

/** A frame of fewer than 16 MB, the limit on frames. */
const MANY = 200_000;
const ADDRESS = '127.0.0.1:9';

function createState(): RouterState {
  const identity = {
    daemon: 'd0',
    zone: 'z',
    peerAddress: toAddress('127.0.0.1:1'),
    proxyAddress: null,
    life: 5,
    isFirstStart: false,
  };
  const bounds = {
    retries: { ratio: 0.1, extra: 10 },
    configuration: 2_000,
    drain: 3_000,
    contact: 3_000,
    longestLease: 5_000,
    evacuation: null,
    coldStart: null,
    processorPower: 1,
  };
  return createRouterState(identity, bounds, identity.life);
}

function receive(state: RouterState, frame: object): void {
  const bytes = router.Frame.encode(frame as router.IFrame).finish();
  decodePeerMessage(bytes, 'p').match(
    (message) => void reduce(state, 1, { kind: 'peerMessage', link: 1, message }),
    () => undefined,
  );
}

describe('a report with a long list', () => {
  // The list is spread into the arguments of a call, which throws and ends the daemon that reads it.
  for (const field of ['started', 'rests']) {
    it(`is handled: ${field}`, () => {
      const items = Array.from({ length: MANY }, () => ({ daemon: 'd' }));
      const state = createState();
      expect(() => receive(state, { report: { address: ADDRESS, [field]: items } })).not.toThrow();
    });
  }
});

describe('a configuration of a peer', () => {
  // The frontend reads the limits of each configuration, and throws if there are none.
  it('is not applied without the limits of callers', () => {
    const state = createState();
    receive(state, {
      configurationNews: { revision: 1, configuration: { version: 1, routes: [], services: [] } },
    });
    expect(state.configuration?.limits).not.toEqual(null as never);
  });

  // Node.js throws for such a timeout after the next answer to a caller.
  for (const idleTimeout of [-5_000, Number.NEGATIVE_INFINITY]) {
    it(`is not applied with an idle timeout of ${idleTimeout}`, () => {
      const state = createState();
      const limits = { headerBytes: 1_000, bodyBytes: 1_000, headerTimeout: 1_000, idleTimeout };
      const configuration = { version: 1, routes: [], services: [], limits };
      receive(state, { configurationNews: { revision: 1, configuration } });
      expect((state.configuration?.limits.idleTimeout ?? 0) >= 0).toEqual(true);
    });
  }
});
