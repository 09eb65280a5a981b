import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  isProvenNotHeld,
  createServerSession,
  applyReply,
} from '../../../src/core/ownership/server-session.js';
import type { ControlRequest } from '../../../src/core/server-control.js';
import { ServerModel } from '../../../src/emulator/server-model.js';

const BASE: ControlRequest = {
  shard: 'g/0',
  generation: 1,
  term: 1,
  sequence: 1,
  serverIncarnation: 1,
  stamp: null,
  leaseMilliseconds: 1_000,
  grants: [],
  revokes: [],
  wantInventory: false,
};

function grantedSession(server: ServerModel): ReturnType<typeof createServerSession> {
  const session = createServerSession('s', 0, 0);
  applyReply(session, server.control({ ...BASE, serverIncarnation: 0, wantInventory: true }, 0), 0, 0);
  const grants = [{ unit: 5, epoch: 1 }];
  session.holdings?.set(5, { epoch: 1, acknowledged: false });
  applyReply(session, server.control({ ...BASE, stamp: 0, grants }, 10), 10, 1);
  return session;
}

describe('server session', () => {
  it('counts a unit as held once its grant is acknowledged', () => {
    const session = grantedSession(new ServerModel(1));
    expect(isProvenNotHeld(session, 5)).toEqual(false);
  });

  it('detects an expired lease even when only the reply to a duplicated call arrives', () => {
    const server = new ServerModel(1);
    const session = grantedSession(server);
    const late = { ...BASE, sequence: 2, stamp: 2_000 };
    server.control(late, 2_000);
    const outcome = applyReply(session, server.control(late, 2_001), 2_001, 2);
    expect(outcome.holdingsLost).toEqual(true);
    expect(isProvenNotHeld(session, 5)).toEqual(true);
  });

  it('records that a restarted server holds no units', () => {
    const session = grantedSession(new ServerModel(1));
    const restarted = new ServerModel(2);
    applyReply(session, restarted.control({ ...BASE, sequence: 2 }, 20), 20, 2);
    expect(isProvenNotHeld(session, 5)).toEqual(true);
  });
});

describe('simulated server', () => {
  it('refuses a grant whose own clock stamp has expired, even if the lease was renewed since', () => {
    const server = new ServerModel(1);
    server.control({ ...BASE, stamp: 900 }, 950);
    const late = server.control({ ...BASE, stamp: 0, grants: [{ unit: 1, epoch: 1 }] }, 1_100);
    expect(late.granted).toEqual([]);
    expect(server.ownedEpoch(1, 1_100)).toEqual(undefined);
  });

  it('refuses a grant at an epoch that has been revoked', () => {
    const server = new ServerModel(1);
    server.control({ ...BASE, stamp: 0, revokes: [{ unit: 1, epoch: 4 }] }, 10);
    const reply = server.control({ ...BASE, stamp: 0, grants: [{ unit: 1, epoch: 4 }] }, 20);
    expect(reply.staleGrants).toEqual([{ unit: 1, epoch: 4 }]);
  });

  it('refuses calls from a leader of an older term and calls for an earlier incarnation', () => {
    const server = new ServerModel(2);
    server.control({ ...BASE, serverIncarnation: 0, term: 5 }, 0);
    expect(server.control({ ...BASE, serverIncarnation: 2, term: 4 }, 1).refusal).toEqual('older-leader');
    expect(server.control({ ...BASE, serverIncarnation: 1, term: 5 }, 1).refusal).toEqual(
      'other-incarnation',
    );
  });

  it('acknowledges a revocation only when no request for the unit is running', () => {
    const server = new ServerModel(1);
    server.control({ ...BASE, stamp: 0, grants: [{ unit: 1, epoch: 1 }] }, 1);
    const token = { group: 'g', unit: 1, epoch: 1 };
    expect(server.admit(token, 2)).toEqual(null);
    const revokes = [{ unit: 1, epoch: 1 }];
    expect(server.control({ ...BASE, stamp: 2, revokes }, 3).revoked).toEqual([]);
    expect(server.admit(token, 4)).toEqual('not-owner');
    server.finish(token);
    expect(server.control({ ...BASE, stamp: 2, revokes }, 5).revoked).toEqual(revokes);
  });
});
