/**
 * Whole exchanges of what two members know: on joining, after a partition, and where news that is passed
 * on piece by piece has missed somebody.
 */
import type { ReducerContext } from '../context.js';
import type { DaemonId, Milliseconds } from '../identifiers.js';
import type { MemberSync } from '../messages.js';
import { aliveMembers, isAlive, learnAll, memberDigest } from './membership.js';

/** News has had its time to spread when a daemon has heard none for this long. */
const QUIET_BEFORE_SYNC: Milliseconds = 5_000;
/** A daemon that has just started exchanges at once: many may be joining with it. */
const YOUNG_FOR: Milliseconds = 15_000;
/** A daemon starts a whole exchange with a peer at most this often. */
const SYNC_INTERVAL: Milliseconds = 2_000;

/**
 * News that is passed on a few times may miss a member, above all while many join at once. When a peer
 * still sees other members after the news has been passed on, both exchange all they know.
 */
export function compareMembers(context: ReducerContext, peer: DaemonId, theirDigest: number): void {
  const { membership } = context.state;
  const quiet = context.now - membership.lastChangeAt >= QUIET_BEFORE_SYNC;
  const young = context.now - context.state.startedAt < YOUNG_FOR;
  const due = (quiet || young) && context.now >= membership.nextSyncAt;
  if (due && theirDigest !== memberDigest(membership)) {
    membership.nextSyncAt = context.now + SYNC_INTERVAL;
    context.send(peer, { kind: 'memberSync', members: [...membership.members.values()], reply: false });
  }
}

/** Asks a seed or a lost member for all it knows, so that a start or a healed partition joins up. */
export function rejoin(context: ReducerContext): void {
  const { membership, random } = context.state;
  const lost = [...membership.members.values()].filter((member) => member.status === 'dead');
  const alone = aliveMembers(membership).length <= 1;
  const addresses = [...lost.map((member) => member.address), ...membership.seeds];
  const target = random.pick(addresses);
  const targets = alone ? membership.seeds : target === undefined ? [] : [target];
  const claim = lost.find((member) => member.address === target);
  const members = claim === undefined ? [membership.self] : [membership.self, claim];
  for (const address of targets) {
    context.sendToAddress(address, { kind: 'memberSync', members, reply: false });
  }
}

/** A returning member sends itself and at most the one it took for dead. */
const REJOIN_CLAIM_LENGTH = 2;

/** A joining or returning member: it gets all that we know, unless we already hold it alive. */
export function receiveMemberSync(context: ReducerContext, sender: DaemonId, message: MemberSync): void {
  const { membership } = context.state;
  const claimed = message.members.find((member) => member.id === sender);
  const known = isAlive(membership, sender, claimed?.incarnation);
  const wholeExchange = message.members.length > REJOIN_CLAIM_LENGTH;
  learnAll(context, message.members);
  if (!message.reply) {
    const members = known && !wholeExchange ? [membership.self] : [...membership.members.values()];
    context.send(sender, { kind: 'memberSync', members, reply: true });
  }
}
