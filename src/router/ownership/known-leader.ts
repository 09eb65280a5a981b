/** Which daemon leads, as this one has read in the store or heard from its parent. */
import { noteVersionsOf } from '../feed-lag.js';
import type { Heartbeat } from '../peers/messages.js';
import { setDaemons } from '../request/request-dispatch.js';
import type { RouterContext } from '../router-context.js';
import { hastenHeartbeat } from '../tree/heartbeats.js';
import { follow } from '../tree/parent.js';
import type { LeaderRecord } from './stored-objects.js';

/** The leader's object names a leader. */
export function noteLeader(context: RouterContext, record: LeaderRecord, revision: number): void {
  const { election } = context.state;
  const isOther = election.leader?.term !== record.term || election.leader.life !== record.life;
  if (revision !== election.leaderRevision) {
    election.unchangedSince = context.now;
  }
  election.leader = record;
  election.leaderRevision = revision;
  if (isOther) {
    const { term, daemon, address } = record;
    context.log('leader_seen', { term, leader: daemon, address, revision });
    election.leaderRefused = 0;
    follow(context, address);
  }
}

/** A relay, or the leader itself, tells of a leader that this daemon has not heard of. It stays where it is in the tree. */
function adoptLeader(context: RouterContext, heartbeat: Heartbeat): void {
  const { election } = context.state;
  const { term, leader, leaderLife, leaderAddress, leaderRevision } = heartbeat;
  const place = { term, daemon: leader, life: leaderLife, address: leaderAddress };
  election.leader = { ...place, beat: 0, settled: false, resigned: false };
  election.leaderRevision = leaderRevision;
  election.unchangedSince = context.now;
  election.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  election.leaderRefused = 0;
  context.log('leader_seen', { term, leader, address: leaderAddress, revision: leaderRevision });
  hastenHeartbeat(context);
}

/** The parent's heartbeat came. */
export function receiveHeartbeat(context: RouterContext, heartbeat: Heartbeat): void {
  const { state, now } = context;
  const { election, tree } = state;
  if (heartbeat.term < (election.leader?.term ?? 0)) {
    return;
  }
  if (heartbeat.term > (election.leader?.term ?? 0)) {
    adoptLeader(context, heartbeat);
  }
  tree.parentHeardAt = now;
  tree.watchers = heartbeat.watchers;
  tree.wasRelayed &&= heartbeat.heardAge > 0;
  const heardAt = now - heartbeat.heardAge;
  if (heardAt >= election.lastHeartbeatAt) {
    election.lastHeartbeatAt = heardAt;
    election.confirmationAge = heartbeat.confirmationAge;
  }
  noteConfirmedRevision(context, heartbeat);
  election.leaderRefused = 0;
  setDaemons(state, heartbeat.daemons);
  noteVersionsOf(context, heartbeat);
}

/**
 * The leader says which revision of its object it has confirmed. When the store still has that one after an outage,
 * the leader has written nothing since this heartbeat: a takeover need not watch the object anew.
 */
function noteConfirmedRevision(context: RouterContext, { term, leaderRevision }: Heartbeat): void {
  const { election } = context.state;
  if (term === election.leader?.term && leaderRevision > election.leaderRevision) {
    election.leaderRevision = leaderRevision;
    election.unchangedSince = context.now;
  }
}
