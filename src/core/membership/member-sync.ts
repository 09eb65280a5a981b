/**
 * Full synchronisation of the membership lists of two daemons: when a daemon joins, after a partition, and
 * when a daemon has missed updates propagated by gossip.
 */
import type { ReducerContext } from '../context.js';
import type { DaemonId, Milliseconds } from '../identifiers.js';
import type { MemberSync } from '../messages.js';
import { aliveMembers, isAlive, mergeMembers, memberDigest } from './membership.js';

/**
 * Gossip is assumed to have reached every member when a daemon has recorded no membership change for this
 * long.
 */
const QUIET_TIME_BEFORE_SYNC: Milliseconds = 5_000;
/**
 * A daemon synchronises without waiting for a quiet period for this long after its start, since many daemons
 * may be joining with it.
 */
const STARTUP_PERIOD: Milliseconds = 15_000;
/**
 * The shortest time between two full synchronisations that this daemon starts, whichever peer each is with.
 */
const MIN_SYNC_INTERVAL: Milliseconds = 2_000;

/**
 * Starts a full synchronisation when a peer's membership still differs after gossip has had time to
 * propagate. Gossip retransmits each update only a few times and may miss a member, above all while many
 * daemons join at once.
 */
export function syncMembersIfDifferent(context: ReducerContext, peer: DaemonId, theirDigest: number): void {
  const { membership } = context.state;
  const isQuiet = context.now - membership.lastChangeAt >= QUIET_TIME_BEFORE_SYNC;
  const isStarting = context.now - context.state.startedAt < STARTUP_PERIOD;
  const isDue = (isQuiet || isStarting) && context.now >= membership.nextSyncAt;
  if (isDue && theirDigest !== memberDigest(membership)) {
    membership.nextSyncAt = context.now + MIN_SYNC_INTERVAL;
    context.send(peer, { kind: 'memberSync', members: [...membership.members.values()], reply: false });
  }
}

/**
 * Requests the membership list from the seeds when alone, otherwise from a random seed or dead member, so
 * that a starting daemon joins and a healed partition merges.
 */
export function rejoin(context: ReducerContext): void {
  const { membership, random } = context.state;
  const deadMembers = [...membership.members.values()].filter((member) => member.status === 'dead');
  const isAlone = aliveMembers(membership).length <= 1;
  const addresses = [...deadMembers.map((member) => member.address), ...membership.seeds];
  const target = random.pick(addresses);
  const targets = isAlone ? membership.seeds : target === undefined ? [] : [target];
  const deadMember = deadMembers.find((member) => member.address === target);
  const members = deadMember === undefined ? [membership.self] : [membership.self, deadMember];
  for (const address of targets) {
    context.sendToAddress(address, { kind: 'memberSync', members, reply: false });
  }
}

/**
 * The longest member list of a rejoin: the sender and at most one member that it had declared dead. A longer
 * list is a full synchronisation.
 */
const MAX_REJOIN_MEMBERS = 2;

/**
 * Merges the members received and, unless the message is itself a reply, replies. The reply has the full
 * list, unless the sender is already known as alive and sent no full list.
 */
export function receiveMemberSync(context: ReducerContext, sender: DaemonId, message: MemberSync): void {
  const { membership } = context.state;
  const senderRecord = message.members.find((member) => member.id === sender);
  const isKnownAlive = isAlive(membership, sender, senderRecord?.incarnation);
  const isFullList = message.members.length > MAX_REJOIN_MEMBERS;
  mergeMembers(context, message.members);
  if (!message.reply) {
    const members = isKnownAlive && !isFullList ? [membership.self] : [...membership.members.values()];
    context.send(sender, { kind: 'memberSync', members, reply: true });
  }
}
