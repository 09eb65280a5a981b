/**
 * Membership by gossip with suspicion and incarnations, after the SWIM protocol (Das, Gupta and Motivala,
 * "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002): one
 * member is pinged in each interval, directly and then through others, and news rides on those messages.
 * Cost for a daemon does not grow with the number of daemons.
 */
import type { ReducerContext } from '../context.js';
import { hash32 } from '../hashing.js';
import type { DaemonId, Milliseconds } from '../identifiers.js';
import type { Digest, Member, MemberStatus, Ping, PingAck, PingRequest } from '../messages.js';
import type { SeededRandom } from '../random.js';
import { rejoin } from './member-exchange.js';

const UPDATES_PER_MESSAGE = 6;
const RETRANSMIT_FACTOR = 3;
const INDIRECT_PROBES = 2;
/** A lost or parted member is tried again this often, so that a healed partition joins up. */
const REJOIN_INTERVAL: Milliseconds = 3_000;
/** Members that a leaving daemon tells itself. */
const TOLD_OF_LEAVING = 5;
/** A dead member is forgotten after this long. */
const FORGET_AFTER: Milliseconds = 600_000;

interface OutstandingPing {
  readonly target: DaemonId;
  readonly sequence: number;
  readonly sentAt: Milliseconds;
  indirect: boolean;
}

interface RelayedPing {
  readonly requester: DaemonId;
  readonly requesterSequence: number;
}

/** All that a daemon knows of the other daemons. */
export interface MembershipState {
  self: Member;
  readonly members: Map<DaemonId, Member>;
  readonly seeds: readonly string[];
  /** When each suspected member is declared dead, and each dead one is forgotten. */
  readonly deadlines: Map<DaemonId, Milliseconds>;
  /** News still to be passed on, with how many more times. */
  readonly news: Map<DaemonId, number>;
  pingOrder: DaemonId[];
  outstanding: OutstandingPing | null;
  readonly relayed: Map<number, RelayedPing>;
  sequence: number;
  nextPingAt: Milliseconds;
  nextRejoinAt: Milliseconds;
  /** Alive members by name, made anew after a change. */
  aliveCache: Member[] | null;
  /** Sum of a hash of each life that is believed to run, modulo 2^32. */
  digest: number;
  nextSyncAt: Milliseconds;
  lastChangeAt: Milliseconds;
}

/** The membership of a daemon that has just started. */
export function createMembership(self: Member, seeds: readonly string[]): MembershipState {
  return {
    self,
    members: new Map([[self.id, self]]),
    seeds: seeds.filter((seed) => seed !== self.address),
    deadlines: new Map(),
    news: new Map(),
    pingOrder: [],
    outstanding: null,
    relayed: new Map(),
    sequence: 0,
    nextPingAt: 0,
    nextRejoinAt: 0,
    aliveCache: null,
    digest: digestShare(self),
    nextSyncAt: 0,
    lastChangeAt: 0,
  };
}

/** Members believed to run, the daemon itself included, by name. A suspected one counts until it is dead. */
export function aliveMembers(state: MembershipState): Member[] {
  state.aliveCache ??= [...state.members.values()]
    .filter((member) => member.status === 'alive' || member.status === 'suspect')
    .sort((left, right) => (left.id < right.id ? -1 : 1));
  return state.aliveCache;
}

/** A short statement of which lives of which members are believed to run. */
export function memberDigest(state: MembershipState): number {
  return state.digest;
}

function digestShare(member: Member | undefined): number {
  const runs = member?.status === 'alive' || member?.status === 'suspect';
  return runs ? hash32(`${member.id}#${member.incarnation}`) : 0;
}

/** A member that is believed to run, in that very life if an incarnation is given. */
export function isAlive(state: MembershipState, id: DaemonId, incarnation?: number): boolean {
  const member = state.members.get(id);
  const runs = member?.status === 'alive' || member?.status === 'suspect';
  return runs && (incarnation === undefined || member.incarnation === incarnation);
}

const STATUS_RANK: Record<MemberStatus, number> = { alive: 0, suspect: 1, dead: 2, left: 3 };

function isNewer(candidate: Member, known: Member): boolean {
  if (candidate.incarnation !== known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  if (candidate.revision !== known.revision) {
    return candidate.revision > known.revision;
  }
  return STATUS_RANK[candidate.status] > STATUS_RANK[known.status];
}

function retransmissions(state: MembershipState): number {
  return RETRANSMIT_FACTOR * Math.ceil(Math.log2(state.members.size + 1));
}

function record(context: ReducerContext, member: Member): void {
  const { membership, timing, counters } = context.state;
  const known = membership.members.get(member.id);
  membership.members.set(member.id, member);
  membership.news.set(member.id, retransmissions(membership));
  membership.aliveCache = null;
  membership.digest = (membership.digest - digestShare(known) + digestShare(member)) >>> 0;
  membership.lastChangeAt = context.now;
  membership.deadlines.delete(member.id);
  if (member.status === 'suspect') {
    counters.members_suspected += 1;
    membership.deadlines.set(member.id, context.now + timing.suspicion);
  }
  if (member.status === 'dead' || member.status === 'left') {
    membership.deadlines.set(member.id, context.now + FORGET_AFTER);
  }
}

function refute(context: ReducerContext, claim: Member): void {
  const { membership } = context.state;
  const leaving = membership.self.status === 'left';
  if (claim.incarnation !== membership.self.incarnation || claim.status === 'alive' || leaving) {
    return;
  }
  membership.self = { ...membership.self, revision: Math.max(claim.revision, membership.self.revision) + 1 };
  record(context, membership.self);
}

/** Takes in one piece of news. */
export function learnMember(context: ReducerContext, member: Member): void {
  const { membership } = context.state;
  if (member.id === membership.self.id) {
    refute(context, member);
    return;
  }
  const known = membership.members.get(member.id);
  if (known !== undefined && !isNewer(member, known)) {
    return;
  }
  record(context, member);
  if (known?.status !== member.status && member.status !== 'suspect') {
    context.log('info', `member ${member.id} is ${member.status}`);
  }
}

/** Takes the news that has waited longest; what is to be passed on again goes to the end. */
function takeNews(state: MembershipState): Member[] {
  const updates: Member[] = [];
  for (const [id, remaining] of state.news) {
    if (updates.length === UPDATES_PER_MESSAGE) {
      break;
    }
    const member = state.members.get(id);
    if (member !== undefined) {
      updates.push(member);
    }
    state.news.delete(id);
    if (remaining > 1) {
      state.news.set(id, remaining - 1);
    }
  }
  return updates;
}

function nextTarget(state: MembershipState, random: SeededRandom): Member | undefined {
  for (let round = 0; round < 2; round += 1) {
    while (state.pingOrder.length > 0) {
      const member = state.members.get(state.pingOrder.pop() ?? '');
      if (member !== undefined && (member.status === 'alive' || member.status === 'suspect')) {
        return member;
      }
    }
    const others = aliveMembers(state).filter((member) => member.id !== state.self.id);
    state.pingOrder = others.map((member) => member.id);
    shuffle(state.pingOrder, random);
  }
  return undefined;
}

function shuffle(items: DaemonId[], random: SeededRandom): void {
  for (let index = items.length - 1; index > 0; index -= 1) {
    const other = random.below(index + 1);
    const item = items[index] as DaemonId;
    items[index] = items[other] as DaemonId;
    items[other] = item;
  }
}

function sendPing(context: ReducerContext, target: Member): number {
  const { membership } = context.state;
  membership.sequence += 1;
  const sequence = membership.sequence;
  // The receiver may not know us yet: without our address it could not answer, and we would take it for dead.
  const updates = [membership.self, ...takeNews(membership)];
  context.send(target.id, { kind: 'ping', sequence, digest: context.digest(), updates });
  return sequence;
}

function startPing(context: ReducerContext): void {
  const { membership, random } = context.state;
  const target = nextTarget(membership, random);
  if (target === undefined) {
    return;
  }
  const sequence = sendPing(context, target);
  membership.outstanding = { target: target.id, sequence, sentAt: context.now, indirect: false };
}

function askOthersToPing(context: ReducerContext, outstanding: OutstandingPing): void {
  const { membership, random } = context.state;
  outstanding.indirect = true;
  const helpers = aliveMembers(membership).filter(
    (member) => member.id !== membership.self.id && member.id !== outstanding.target,
  );
  for (let count = 0; count < INDIRECT_PROBES; count += 1) {
    const helper = random.pick(helpers);
    if (helper !== undefined) {
      const { sequence, target } = outstanding;
      context.send(helper.id, { kind: 'pingRequest', sequence, target });
    }
  }
}

function suspect(context: ReducerContext, id: DaemonId): void {
  const member = context.state.membership.members.get(id);
  if (member?.status === 'alive') {
    record(context, { ...member, status: 'suspect' });
  }
}

function checkDeadlines(context: ReducerContext): void {
  const { membership, counters } = context.state;
  for (const [id, deadline] of membership.deadlines) {
    const member = membership.members.get(id);
    if (context.now < deadline || member === undefined) {
      continue;
    }
    if (member.status === 'suspect') {
      counters.members_declared_dead += 1;
      record(context, { ...member, status: 'dead' });
      context.log('warn', `member ${id} is dead: it answered no ping`);
    } else {
      membership.members.delete(id);
      membership.deadlines.delete(id);
      membership.news.delete(id);
    }
  }
}

/** Tells some members that this daemon leaves; they pass it on. */
export function leave(context: ReducerContext): void {
  const { membership, random } = context.state;
  const others = aliveMembers(membership).filter((member) => member.id !== membership.self.id);
  membership.self = { ...membership.self, revision: membership.self.revision + 1, status: 'left' };
  record(context, membership.self);
  for (let count = 0; count < TOLD_OF_LEAVING; count += 1) {
    const other = random.pick(others);
    if (other !== undefined) {
      sendPing(context, other);
    }
  }
}

/** Does what is due. */
export function tickMembership(context: ReducerContext): void {
  const { membership, timing } = context.state;
  const { outstanding } = membership;
  if (outstanding !== null) {
    const waited = context.now - outstanding.sentAt;
    if (waited >= timing.pingTimeout && !outstanding.indirect) {
      askOthersToPing(context, outstanding);
    }
    if (waited >= timing.pingInterval) {
      suspect(context, outstanding.target);
      membership.outstanding = null;
    }
  }
  checkDeadlines(context);
  if (context.now >= membership.nextRejoinAt) {
    const alone = aliveMembers(membership).length <= 1;
    membership.nextRejoinAt = context.now + (alone ? timing.pingTimeout : REJOIN_INTERVAL);
    rejoin(context);
  }
  if (context.now >= membership.nextPingAt && membership.outstanding === null) {
    membership.nextPingAt = context.now + timing.pingInterval;
    startPing(context);
  }
}

/** Takes in several pieces of news. */
export function learnAll(context: ReducerContext, members: readonly Member[]): void {
  for (const member of members) {
    learnMember(context, member);
  }
}

/** A ping: answer it with news of our own. */
export function receivePing(context: ReducerContext, sender: DaemonId, message: Ping): void {
  learnAll(context, message.updates);
  const updates = takeNews(context.state.membership);
  context.send(sender, { kind: 'pingAck', sequence: message.sequence, digest: context.digest(), updates });
  context.compareDigest(sender, message.digest);
}

/** An answer to a ping of our own, or to one sent for another member. */
export function receivePingAck(context: ReducerContext, sender: DaemonId, message: PingAck): void {
  const { membership } = context.state;
  learnAll(context, message.updates);
  if (membership.outstanding?.sequence === message.sequence) {
    membership.outstanding = null;
  }
  const relayed = membership.relayed.get(message.sequence);
  if (relayed !== undefined) {
    membership.relayed.delete(message.sequence);
    const digest: Digest = message.digest;
    context.send(relayed.requester, {
      kind: 'pingAck',
      sequence: relayed.requesterSequence,
      digest,
      updates: [],
    });
  }
  context.compareDigest(sender, message.digest);
}

/** Another member asks us to ping a third. */
export function receivePingRequest(context: ReducerContext, sender: DaemonId, message: PingRequest): void {
  const { membership } = context.state;
  const target = membership.members.get(message.target);
  if (target === undefined) {
    return;
  }
  const sequence = sendPing(context, target);
  membership.relayed.set(sequence, { requester: sender, requesterSequence: message.sequence });
  const oldest = membership.relayed.keys().next().value;
  const mostRelayed = 64;
  if (membership.relayed.size > mostRelayed && oldest !== undefined) {
    membership.relayed.delete(oldest);
  }
}
