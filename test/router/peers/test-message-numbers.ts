import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { PeerMessage } from '../../../src/router/peers/messages.js';
import { withSoundNumbers } from '../../../src/router/peers/message-numbers.js';
import { reduce } from '../../../src/router/reducer.js';
import { SingleDaemon, describeServer } from '../support/single-daemon.js';
import { heartbeatWith } from '../support/peer-messages.js';

const NO_NUMBERS = [Number.NaN, Number.POSITIVE_INFINITY, -1, 1e300];

describe('a heartbeat', () => {
  // Guards against shares of a division by zero, or of nearly nothing, for a number of daemons that no deployment has.
  for (const daemons of [0, 1e9, ...NO_NUMBERS]) {
    it(`leaves the number of daemons as it is if it states ${daemons}`, () => {
      const daemon = new SingleDaemon();
      const former = daemon.state.daemons;
      const message = heartbeatWith({ daemons });
      daemon.event({ kind: 'peerMessage', link: -1, message });
      expect(daemon.state.daemons).toEqual(former);
      expect(daemon.state.counters.malformed_peer_messages).toEqual(1);
    });
  }

  it('counts if its numbers are sound', () => {
    const daemon = new SingleDaemon();
    daemon.event({ kind: 'peerMessage', link: -1, message: heartbeatWith({ daemons: 7 }) });
    expect(daemon.state.daemons).toEqual(7);
    expect(daemon.state.counters.malformed_peer_messages).toEqual(0);
  });
});

describe('a message with an item whose numbers no daemon sends', () => {
  // Guards against the loss of sound items beside it.
  it('counts without the item', () => {
    const daemon = new SingleDaemon();
    const sound = { ...describeServer('s7'), revision: 9 };
    const others = NO_NUMBERS.map((revision, index) => ({ ...describeServer(`s${20 + index}`), revision }));
    const changes = [sound, ...others].map((server) => ({ id: server.id, server }));
    const message = { kind: 'serverNews', base: 5, completeFrom: 5, revision: 9, changes } as const;
    const confirmed = withSoundNumbers({ ...message, changes: [...message.changes] });
    expect(confirmed?.changes.map(({ id }) => id)).toEqual(['s7']);
    reduce(daemon.state, daemon.now, {
      kind: 'peerMessage',
      link: -1,
      message: { ...message, changes: [...message.changes] },
    });
    expect(daemon.state.servers.has('s7')).toEqual(true);
    expect(daemon.state.servers.size).toEqual(4);
  });
});

describe('ownership', () => {
  // Guards against keys without an owner because one of the units of a view was left out.
  it('is dropped as a whole if a fence is no safe number', () => {
    const unit = { service: 'racks', from: 0, to: 9, owner: 's1', fence: 3, granted: true };
    const units = [unit, { ...unit, from: 10, to: 20, fence: 2 ** 60 }];
    const message: PeerMessage = { kind: 'ownership', term: 1, sequence: 4, base: 0, baseTerm: 0, units };
    expect(withSoundNumbers(message)).toEqual(null);
  });
});
