import { expect } from 'earl';
import { describe, it } from 'node:test';
import {
  certainlyNotHeld,
  createServerSession,
  takeReply,
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
  takeReply(session, server.control({ ...BASE, serverIncarnation: 0, wantInventory: true }, 0), 0, 0);
  const grants = [{ unit: 5, epoch: 1 }];
  session.holdings?.set(5, { epoch: 1, acknowledged: false });
  takeReply(session, server.control({ ...BASE, stamp: 0, grants }, 10), 10, 1);
  return session;
}

describe('server session', () => {
  it('believes a unit held once its grant is acknowledged', () => {
    const session = grantedSession(new ServerModel(1));
    expect(certainlyNotHeld(session, 5)).toEqual(false);
  });

  it('learns that a lease lapsed even when only the answer to a duplicated call arrives', () => {
    const server = new ServerModel(1);
    const session = grantedSession(server);
    const late = { ...BASE, sequence: 2, stamp: 2_000 };
    server.control(late, 2_000);
    const outcome = takeReply(session, server.control(late, 2_001), 2_001, 2);
    expect(outcome.lapsed).toEqual(true);
    expect(certainlyNotHeld(session, 5)).toEqual(true);
  });

  it('holds nothing after a restart of the server', () => {
    const session = grantedSession(new ServerModel(1));
    const restarted = new ServerModel(2);
    takeReply(session, restarted.control({ ...BASE, sequence: 2 }, 20), 20, 2);
    expect(certainlyNotHeld(session, 5)).toEqual(true);
  });
});

describe('server model', () => {
  it('refuses a grant whose own stamp has run out, though its lease was renewed since', () => {
    const server = new ServerModel(1);
    server.control({ ...BASE, stamp: 900 }, 950);
    const late = server.control({ ...BASE, stamp: 0, grants: [{ unit: 1, epoch: 1 }] }, 1_100);
    expect(late.granted).toEqual([]);
    expect(server.ownedEpoch(1, 1_100)).toEqual(undefined);
  });

  it('refuses a grant at an epoch that was revoked before', () => {
    const server = new ServerModel(1);
    server.control({ ...BASE, stamp: 0, revokes: [{ unit: 1, epoch: 4 }] }, 10);
    const reply = server.control({ ...BASE, stamp: 0, grants: [{ unit: 1, epoch: 4 }] }, 20);
    expect(reply.staleGrants).toEqual([{ unit: 1, epoch: 4 }]);
  });

  it('refuses an older leader and a call meant for its former life', () => {
    const server = new ServerModel(2);
    server.control({ ...BASE, serverIncarnation: 0, term: 5 }, 0);
    expect(server.control({ ...BASE, serverIncarnation: 2, term: 4 }, 1).refusal).toEqual('older-leader');
    expect(server.control({ ...BASE, serverIncarnation: 1, term: 5 }, 1).refusal).toEqual(
      'other-incarnation',
    );
  });

  it('acknowledges a revocation only when no request of the unit runs', () => {
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
