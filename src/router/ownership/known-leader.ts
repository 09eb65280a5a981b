/** Which daemon leads, as read from the store or received from other daemons. */
import { comparePeerVersions } from '../feed-lag.js';
import { receiveAnnouncedLoads } from '../load-view/fleet-load.js';
import { recordParentConfirmation } from '../news/store-data-age.js';
import { applyEvacuations } from '../news/apply-evacuations.js';
import type { Heartbeat, LeaderIdentity, LeaderNotice } from '../peers/messages.js';
import { setDaemonCount } from '../request/request-dispatch.js';
import { receiveProxies } from '../proxying/proxy-directory.js';
import type { RouterContext } from '../router-context.js';
import { sendHeartbeatSoon } from '../tree/heartbeats.js';
import { followLeader } from '../tree/parent.js';
import { stepDown } from './leader-confirmation.js';
import type { LeaderRecord } from './stored-objects.js';

function identityOf({ term, daemon, life, address }: LeaderRecord): LeaderIdentity {
  return { term, leader: daemon, leaderLife: life, leaderAddress: address };
}

/** Sends the identity of the leader to the parent and all children. */
function sendLeaderNotice(
  context: RouterContext,
  { term, leader, leaderLife, leaderAddress }: LeaderIdentity,
): void {
  const message: LeaderNotice = { kind: 'leaderNotice', term, leader, leaderLife, leaderAddress };
  context.emit({ kind: 'sendToParent', message });
  context.emit({ kind: 'sendToChildren', link: null, message });
}

/** Records the leader that was read from the store. */
export function recordLeader(context: RouterContext, record: LeaderRecord, revision: number): void {
  const { election } = context.state;
  const isNewLeader = election.leader?.term !== record.term || election.leader.life !== record.life;
  if (revision !== election.leaderRevision) {
    election.leaderRevisionSeenAt = context.now;
  }
  election.leader = record;
  election.leaderRevision = revision;
  if (isNewLeader) {
    const { term, daemon, address } = record;
    context.log('leader_seen', { term, leader: daemon, address, revision });
    election.leaderRefusals = 0;
    if (!record.resigned) {
      sendLeaderNotice(context, identityOf(record));
    }
    followLeader(context, address);
  }
}

/** Adopts a leader that another daemon announced. */
function adoptLeader(context: RouterContext, announced: LeaderIdentity, revision: number): void {
  const { election } = context.state;
  const { term, leader, leaderLife, leaderAddress } = announced;
  const identity = { term, daemon: leader, life: leaderLife, address: leaderAddress };
  election.leader = { ...identity, beat: 0, settled: false, resigned: false };
  election.leaderRevision = revision;
  election.leaderRevisionSeenAt = context.now;
  election.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  election.leaderRefusals = 0;
  context.log('leader_seen', { term, leader, address: leaderAddress, revision });
  sendHeartbeatSoon(context);
}

/**
 * Handles the notice of a neighbour in the propagation tree that another daemon leads. A leader of an earlier
 * term steps down. A daemon without heartbeats from a relay follows the new leader; one that receives them
 * keeps its parent.
 */
export function receiveLeaderNotice(context: RouterContext, notice: LeaderNotice): void {
  const { state } = context;
  const { election, leadership, identity } = state;
  const knownTerm = Math.max(election.leader?.term ?? 0, leadership?.term ?? 0);
  if (notice.term <= knownTerm || notice.leader === identity.daemon || election.candidacy !== null) {
    return;
  }
  if (leadership !== null) {
    stepDown(context, 'another daemon leads', null);
  }
  adoptLeader(context, notice, 0);
  // The leader has just claimed its record. Without this, a relay would fall silent until the leader's first heartbeat.
  election.lastHeartbeatAt = context.now;
  election.confirmationAge = 0;
  sendLeaderNotice(context, notice);
  followLeader(context, notice.leaderAddress);
}

/** Handles a heartbeat of the parent. */
export function receiveHeartbeat(context: RouterContext, heartbeat: Heartbeat): void {
  const { state, now } = context;
  const { election, tree } = state;
  if (heartbeat.term < (election.leader?.term ?? 0)) {
    return;
  }
  if (heartbeat.term > (election.leader?.term ?? 0)) {
    adoptLeader(context, heartbeat, heartbeat.leaderRevision);
  }
  tree.lastParentContactAt = now;
  tree.watchers = heartbeat.watchers;
  tree.wasRedirected &&= tree.parent !== heartbeat.leaderAddress;
  const heardAt = now - heartbeat.heardAge;
  if (heardAt >= election.lastHeartbeatAt) {
    election.lastHeartbeatAt = heardAt;
    election.confirmationAge = heartbeat.confirmationAge;
  }
  recordConfirmedRevision(context, heartbeat);
  election.leaderRefusals = 0;
  setDaemonCount(state, heartbeat.daemons);
  state.pathlessDaemons = heartbeat.pathlessDaemons;
  receiveProxies(context, heartbeat.proxies);
  applyEvacuations(context, heartbeat.evacuations);
  const hasDemandRisen = receiveAnnouncedLoads(context, heartbeat);
  if (recordParentConfirmation(context, heartbeat) || hasDemandRisen) {
    sendHeartbeatSoon(context);
  }
  comparePeerVersions(context, heartbeat);
}

/**
 * Records the revision of the leader record that the leader has confirmed. If the store still has this
 * revision after an outage, the leader has written nothing since the heartbeat, so a takeover need not wait
 * again for the record to stay unchanged.
 */
function recordConfirmedRevision(context: RouterContext, { term, leaderRevision }: Heartbeat): void {
  const { election } = context.state;
  if (term === election.leader?.term && leaderRevision > election.leaderRevision) {
    election.leaderRevision = leaderRevision;
    election.leaderRevisionSeenAt = context.now;
  }
}
