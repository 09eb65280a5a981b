/** Guards against a new leader that fills its link with ownership that the daemons know, and against views that differ after such a change. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import { encodePeerMessage } from '../../../src/router-runtime/peer-codec.js';
import { missedOwnershipMessage } from '../../../src/router/ownership/ownership-broadcast.js';
import { OwnershipView, type UnitView } from '../../../src/router/ownership/ownership-view.js';
import type { Ownership, Report } from '../../../src/router/peers/messages.js';
import { SingleDaemon } from '../support/single-daemon.js';

const UNITS = 680;
const KEYS_PER_UNIT = 96;
const FORMER_TERM = 3;
const TERM = 4;

function unitAt(index: number, granted: boolean): UnitView {
  const from = index * KEYS_PER_UNIT;
  const to = from + KEYS_PER_UNIT - 1;
  return { service: 'racks', from, to, owner: `racks-${index % 83}`, fence: index, releasing: null, granted };
}

const former = new OwnershipView(
  FORMER_TERM,
  70.0003,
  Array.from({ length: UNITS }, (_, index) => unitAt(index, true)),
);
/** The new leader has not yet heard from the owner of one unit. */
const current = new OwnershipView(
  TERM,
  75.0001,
  former.units.map((unit, index) => (index === 5 ? { ...unit, granted: false } : unit)),
);

function messageFor(viewTerm: number, viewSequence: number): Ownership {
  const state = { ...new SingleDaemon().state, ownershipView: current, formerOwnershipView: former };
  return missedOwnershipMessage(state, { viewTerm, viewSequence } as Report);
}

function viewAfter(view: OwnershipView, message: Ownership): OwnershipView {
  const daemon = new SingleDaemon();
  daemon.state.ownershipView = view;
  daemon.event({ kind: 'peerMessage', link: 0, message });
  return daemon.state.ownershipView;
}

describe('the ownership that a new leader sends', () => {
  it('to a daemon with the last view of its predecessor is the change since', () => {
    const message = messageFor(FORMER_TERM, former.sequence);
    expect(message.units.length).toEqual(1);
    expect(encodePeerMessage(message).length < 100).toEqual(true);
    const view = viewAfter(former, message);
    expect([view.term, view.sequence]).toEqual([TERM, current.sequence]);
    expect(view.units).toEqual(current.units);
  });

  it('to a daemon with an older view, or of an earlier version, has all units', () => {
    expect(messageFor(FORMER_TERM, former.sequence - 1).units.length).toEqual(UNITS);
    expect(messageFor(0, 0).units.length).toEqual(UNITS);
    expect(viewAfter(former, messageFor(0, 0)).units).toEqual(current.units);
  });

  it('changes no view that it is not based on', () => {
    const older = new OwnershipView(FORMER_TERM, former.sequence - 1, former.units);
    const message = messageFor(FORMER_TERM, former.sequence);
    expect(viewAfter(older, message) === older).toEqual(true);
  });

  // Each of 60 daemons that joined at a takeover cost the leader one encoding and deflation of all units.
  it('is encoded once for all daemons', () => {
    const message = messageFor(0, 0);
    expect(encodePeerMessage(message) === encodePeerMessage(message)).toEqual(true);
    expect(messageFor(0, 0) === message).toEqual(true);
  });
});
