/**
 * Membership by gossip with suspicion and incarnations, after the SWIM protocol (Das, Gupta and Motivala,
 * "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002): each
 * daemon pings one member in each interval, directly and then through other members, and piggybacks
 * membership updates on these messages. The cost for a daemon does not grow with the number of daemons.
 */
import type { ReducerContext } from '../context.js';
import { hash32 } from '../hashing.js';
import type { DaemonId, Milliseconds } from '../identifiers.js';
import type { Digest, Member, MemberStatus, Ping, PingAck, PingRequest } from '../messages.js';
import type { SeededRandom } from '../random.js';
import { rejoin } from './member-sync.js';

const MAX_UPDATES_PER_MESSAGE = 6;
const RETRANSMIT_FACTOR = 3;
const INDIRECT_PING_HELPERS = 2;
/**
 * The interval between two attempts to contact a seed or a dead member, so that a healed partition merges.
 */
const REJOIN_INTERVAL: Milliseconds = 3_000;
/** The number of members that a leaving daemon notifies directly. */
const NOTIFIED_MEMBERS_ON_LEAVE = 5;
/** The time after which the record of a dead or departed member is deleted. */
const DEPARTED_MEMBER_RETENTION: Milliseconds = 600_000;

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

/** The membership list of a daemon and the state of the membership protocol. */
export interface MembershipState {
  self: Member;
  readonly members: Map<DaemonId, Member>;
  readonly seeds: readonly string[];
  /**
   * The time at which each suspected member is declared dead and the record of each dead or departed member
   * is deleted.
   */
  readonly deadlines: Map<DaemonId, Milliseconds>;
  /** The members whose records are still to be gossiped, with the number of remaining transmissions. */
  readonly pendingUpdates: Map<DaemonId, number>;
  pingOrder: DaemonId[];
  outstandingPing: OutstandingPing | null;
  readonly relayedPings: Map<number, RelayedPing>;
  sequence: number;
  nextPingAt: Milliseconds;
  nextRejoinAt: Milliseconds;
  /** The alive and suspected members sorted by id, or null after a membership change. */
  cachedAliveMembers: Member[] | null;
  /** The sum of the hashes of each alive or suspected member's (id, incarnation), modulo 2^32. */
  digest: number;
  nextSyncAt: Milliseconds;
  lastChangeAt: Milliseconds;
}

/** Creates the membership of a daemon that has just started. */
export function createMembership(self: Member, seeds: readonly string[]): MembershipState {
  return {
    self,
    members: new Map([[self.id, self]]),
    seeds: seeds.filter((seed) => seed !== self.address),
    deadlines: new Map(),
    pendingUpdates: new Map(),
    pingOrder: [],
    outstandingPing: null,
    relayedPings: new Map(),
    sequence: 0,
    nextPingAt: 0,
    nextRejoinAt: 0,
    cachedAliveMembers: null,
    digest: memberHash(self),
    nextSyncAt: 0,
    lastChangeAt: 0,
  };
}

/**
 * Returns the members considered alive, this daemon included, sorted by id. A suspected member counts as
 * alive until it is declared dead.
 */
export function aliveMembers(state: MembershipState): Member[] {
  state.cachedAliveMembers ??= [...state.members.values()]
    .filter((member) => member.status === 'alive' || member.status === 'suspect')
    .sort((left, right) => (left.id < right.id ? -1 : 1));
  return state.cachedAliveMembers;
}

/** Returns a digest of the members considered alive and their incarnations. */
export function memberDigest(state: MembershipState): number {
  return state.digest;
}

function memberHash(member: Member | undefined): number {
  const isConsideredAlive = member?.status === 'alive' || member?.status === 'suspect';
  return isConsideredAlive ? hash32(`${member.id}#${member.incarnation}`) : 0;
}

/** Returns whether a member is considered alive, in the given incarnation if there is one. */
export function isAlive(state: MembershipState, id: DaemonId, incarnation?: number): boolean {
  const member = state.members.get(id);
  const isConsideredAlive = member?.status === 'alive' || member?.status === 'suspect';
  return isConsideredAlive && (incarnation === undefined || member.incarnation === incarnation);
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

function recordMember(context: ReducerContext, member: Member): void {
  const { membership, timing, counters } = context.state;
  const known = membership.members.get(member.id);
  membership.members.set(member.id, member);
  membership.pendingUpdates.set(member.id, retransmissions(membership));
  membership.cachedAliveMembers = null;
  membership.digest = (membership.digest - memberHash(known) + memberHash(member)) >>> 0;
  membership.lastChangeAt = context.now;
  membership.deadlines.delete(member.id);
  if (member.status === 'suspect') {
    counters.members_suspected += 1;
    membership.deadlines.set(member.id, context.now + timing.suspicionTimeout);
  }
  if (member.status === 'dead' || member.status === 'left') {
    membership.deadlines.set(member.id, context.now + DEPARTED_MEMBER_RETENTION);
  }
}

function refuteClaim(context: ReducerContext, claim: Member): void {
  const { membership } = context.state;
  const hasLeft = membership.self.status === 'left';
  if (claim.incarnation !== membership.self.incarnation || claim.status === 'alive' || hasLeft) {
    return;
  }
  membership.self = { ...membership.self, revision: Math.max(claim.revision, membership.self.revision) + 1 };
  recordMember(context, membership.self);
}

/**
 * Merges the record of one member if it is newer than the known one. Refutes a claim that this daemon itself
 * is not alive.
 */
export function mergeMember(context: ReducerContext, member: Member): void {
  const { membership } = context.state;
  if (member.id === membership.self.id) {
    refuteClaim(context, member);
    return;
  }
  const known = membership.members.get(member.id);
  if (known !== undefined && !isNewer(member, known)) {
    return;
  }
  recordMember(context, member);
  if (known?.status !== member.status && member.status !== 'suspect') {
    context.log('info', `member ${member.id} is ${member.status}`);
  }
}

/**
 * Returns the updates that have waited longest, up to the limit for a message. An update with transmissions
 * left moves to the end of the queue.
 */
function takeUpdates(state: MembershipState): Member[] {
  const updates: Member[] = [];
  for (const [id, remaining] of state.pendingUpdates) {
    if (updates.length === MAX_UPDATES_PER_MESSAGE) {
      break;
    }
    const member = state.members.get(id);
    if (member !== undefined) {
      updates.push(member);
    }
    state.pendingUpdates.delete(id);
    if (remaining > 1) {
      state.pendingUpdates.set(id, remaining - 1);
    }
  }
  return updates;
}

function nextPingTarget(state: MembershipState, random: SeededRandom): Member | undefined {
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
    const other = random.integerBelow(index + 1);
    const item = items[index] as DaemonId;
    items[index] = items[other] as DaemonId;
    items[other] = item;
  }
}

function sendPing(context: ReducerContext, target: Member): number {
  const { membership } = context.state;
  membership.sequence += 1;
  const sequence = membership.sequence;
  // The receiver may not know this daemon yet. Without this daemon's address the
  // receiver could not reply, and this daemon would declare it dead.
  const updates = [membership.self, ...takeUpdates(membership)];
  context.send(target.id, { kind: 'ping', sequence, digest: context.digest(), updates });
  return sequence;
}

function startPing(context: ReducerContext): void {
  const { membership, random } = context.state;
  const target = nextPingTarget(membership, random);
  if (target === undefined) {
    return;
  }
  const sequence = sendPing(context, target);
  membership.outstandingPing = { target: target.id, sequence, sentAt: context.now, indirect: false };
}

function requestIndirectPings(context: ReducerContext, outstanding: OutstandingPing): void {
  const { membership, random } = context.state;
  outstanding.indirect = true;
  const helpers = aliveMembers(membership).filter(
    (member) => member.id !== membership.self.id && member.id !== outstanding.target,
  );
  for (let count = 0; count < INDIRECT_PING_HELPERS; count += 1) {
    const helper = random.pick(helpers);
    if (helper !== undefined) {
      const { sequence, target } = outstanding;
      context.send(helper.id, { kind: 'pingRequest', sequence, target });
    }
  }
}

function markSuspect(context: ReducerContext, id: DaemonId): void {
  const member = context.state.membership.members.get(id);
  if (member?.status === 'alive') {
    recordMember(context, { ...member, status: 'suspect' });
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
      recordMember(context, { ...member, status: 'dead' });
      context.log('warn', `member ${id} is dead: it acknowledged no ping within the suspicion timeout`);
    } else {
      membership.members.delete(id);
      membership.deadlines.delete(id);
      membership.pendingUpdates.delete(id);
    }
  }
}

/** Notifies some members that this daemon is leaving the membership; gossip propagates the update to the others. */
export function announceLeave(context: ReducerContext): void {
  const { membership, random } = context.state;
  const others = aliveMembers(membership).filter((member) => member.id !== membership.self.id);
  membership.self = { ...membership.self, revision: membership.self.revision + 1, status: 'left' };
  recordMember(context, membership.self);
  for (let count = 0; count < NOTIFIED_MEMBERS_ON_LEAVE; count += 1) {
    const other = random.pick(others);
    if (other !== undefined) {
      sendPing(context, other);
    }
  }
}

/**
 * Runs the timers of the membership protocol: ping timeouts, deadlines, rejoin attempts and the next ping.
 */
export function tickMembership(context: ReducerContext): void {
  const { membership, timing } = context.state;
  const { outstandingPing } = membership;
  if (outstandingPing !== null) {
    const waited = context.now - outstandingPing.sentAt;
    if (waited >= timing.pingTimeout && !outstandingPing.indirect) {
      requestIndirectPings(context, outstandingPing);
    }
    if (waited >= timing.pingInterval) {
      markSuspect(context, outstandingPing.target);
      membership.outstandingPing = null;
    }
  }
  checkDeadlines(context);
  if (context.now >= membership.nextRejoinAt) {
    const isAlone = aliveMembers(membership).length <= 1;
    membership.nextRejoinAt = context.now + (isAlone ? timing.pingTimeout : REJOIN_INTERVAL);
    rejoin(context);
  }
  if (context.now >= membership.nextPingAt && membership.outstandingPing === null) {
    membership.nextPingAt = context.now + timing.pingInterval;
    startPing(context);
  }
}

/** Merges the records of several members. */
export function mergeMembers(context: ReducerContext, members: readonly Member[]): void {
  for (const member of members) {
    mergeMember(context, member);
  }
}

/** Handles a ping: replies with an acknowledgement that carries pending updates. */
export function receivePing(context: ReducerContext, sender: DaemonId, message: Ping): void {
  mergeMembers(context, message.updates);
  const updates = takeUpdates(context.state.membership);
  context.send(sender, { kind: 'pingAck', sequence: message.sequence, digest: context.digest(), updates });
  context.requestMissingState(sender, message.digest);
}

/** Handles the acknowledgement of this daemon's own ping or of a ping sent on behalf of another member. */
export function receivePingAck(context: ReducerContext, sender: DaemonId, message: PingAck): void {
  const { membership } = context.state;
  mergeMembers(context, message.updates);
  if (membership.outstandingPing?.sequence === message.sequence) {
    membership.outstandingPing = null;
  }
  const relayed = membership.relayedPings.get(message.sequence);
  if (relayed !== undefined) {
    membership.relayedPings.delete(message.sequence);
    const digest: Digest = message.digest;
    context.send(relayed.requester, {
      kind: 'pingAck',
      sequence: relayed.requesterSequence,
      digest,
      updates: [],
    });
  }
  context.requestMissingState(sender, message.digest);
}

/** Handles a request by another member to ping a third member (indirect ping). */
export function receivePingRequest(context: ReducerContext, sender: DaemonId, message: PingRequest): void {
  const { membership } = context.state;
  const target = membership.members.get(message.target);
  if (target === undefined) {
    return;
  }
  const sequence = sendPing(context, target);
  membership.relayedPings.set(sequence, { requester: sender, requesterSequence: message.sequence });
  const oldest = membership.relayedPings.keys().next().value;
  const maxRelayedPings = 64;
  if (membership.relayedPings.size > maxRelayedPings && oldest !== undefined) {
    membership.relayedPings.delete(oldest);
  }
}
