/** Which daemon leads, as this one has read in the store or heard from its parent. */
import { noteVersionsOf } from '../feed-lag.js';
import { noteParentsNews } from '../news/news-age.js';
import { takeEvacuations } from '../news/take-evacuations.js';
import type { Heartbeat, LeaderIdentity, LeaderNotice } from '../peers/messages.js';
import { setDaemonCount } from '../request/request-dispatch.js';
import type { RouterContext } from '../router-context.js';
import { sendHeartbeatSoon } from '../tree/heartbeats.js';
import { connectToParent } from '../tree/parent.js';
import { stepDown } from './leader-confirmation.js';
import { HEARTBEAT_PATIENCE } from './ownership-timing.js';
import type { LeaderRecord } from './stored-objects.js';

function identityOf({ term, daemon, life, address }: LeaderRecord): LeaderIdentity {
  return { term, leader: daemon, leaderLife: life, leaderAddress: address };
}

/** Tells the parent and the children who leads now. */
function passOn(context: RouterContext, { term, leader, leaderLife, leaderAddress }: LeaderIdentity): void {
  const message: LeaderNotice = { kind: 'leaderNotice', term, leader, leaderLife, leaderAddress };
  context.emit({ kind: 'sendToParent', message });
  context.emit({ kind: 'sendToChildren', link: null, message });
}

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
    if (!record.resigned) {
      passOn(context, identityOf(record));
    }
    connectToParent(context, address);
  }
}

/** Another daemon tells of a leader that this one has not heard of. */
function adoptLeader(context: RouterContext, found: LeaderIdentity, revision: number): void {
  const { election } = context.state;
  const { term, leader, leaderLife, leaderAddress } = found;
  const place = { term, daemon: leader, life: leaderLife, address: leaderAddress };
  election.leader = { ...place, beat: 0, settled: false, resigned: false };
  election.leaderRevision = revision;
  election.unchangedSince = context.now;
  election.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  election.leaderRefused = 0;
  context.log('leader_seen', { term, leader, address: leaderAddress, revision });
  sendHeartbeatSoon(context);
}

/**
 * A neighbour has learned of another leader. A leader of an earlier term gives up; whoever has lost its parent follows the
 * new leader, and whoever hears its relay stays there.
 */
export function receiveLeaderNotice(context: RouterContext, notice: LeaderNotice): void {
  const { state } = context;
  const { election, leadership, tree, identity } = state;
  const knownTerm = Math.max(election.leader?.term ?? 0, leadership?.term ?? 0);
  if (notice.term <= knownTerm || notice.leader === identity.daemon || election.candidacy !== null) {
    return;
  }
  if (leadership !== null) {
    stepDown(context, 'another daemon leads', null);
  }
  adoptLeader(context, notice, 0);
  passOn(context, notice);
  const hearsRelay = tree.wasRedirected && context.now - tree.lastParentContactAt <= HEARTBEAT_PATIENCE;
  if (!hearsRelay) {
    connectToParent(context, notice.leaderAddress);
  }
}

/** The parent's heartbeat came. */
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
  tree.wasRedirected &&= heartbeat.heardAge > 0;
  const heardAt = now - heartbeat.heardAge;
  if (heardAt >= election.lastHeartbeatAt) {
    election.lastHeartbeatAt = heardAt;
    election.confirmationAge = heartbeat.confirmationAge;
  }
  noteConfirmedRevision(context, heartbeat);
  noteParentsNews(context, heartbeat.newsAge);
  election.leaderRefused = 0;
  setDaemonCount(state, heartbeat.daemons);
  takeEvacuations(context, heartbeat.evacuations);
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
