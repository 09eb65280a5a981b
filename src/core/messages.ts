/**
 * The messages between daemons, as a union told apart by `kind`. Each mirrors the message of the same
 * name in proto/messages.proto; `src/wire/codec.ts` carries one to the other.
 */
import type { DaemonId, Epoch, ReplicaId, ServerId, ShardId, UnitNumber } from './identifiers.js';

/** What a daemon believes of another one. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** One daemon as membership knows it. */
export interface Member {
  readonly id: DaemonId;
  /** Chosen at process start; a larger one replaces a smaller one. */
  readonly incarnation: number;
  /** Grows within one incarnation when a daemon refutes a suspicion. */
  readonly revision: number;
  /** `ip:port` of the daemon's internal port. */
  readonly address: string;
  readonly zone: string;
  readonly status: MemberStatus;
}

/** A short statement of what the sender knows, so that the receiver sees what either lacks. */
export interface Digest {
  readonly configurationVersion: number;
  /** Sum of one hash for each shard's (generation, version), modulo 2^32. */
  readonly tableDigest: number;
  /** Sum of one hash for each member that is alive, modulo 2^32. */
  readonly memberDigest: number;
}

/** Units that one server owns, with the epoch of each at the same position. */
export interface Holding {
  readonly server: ServerId;
  readonly units: UnitNumber[];
  readonly epochs: Epoch[];
}

/** A unit on its way to another server. */
export interface Move {
  readonly unit: UnitNumber;
  readonly target: ServerId;
}

/** A single key that is a unit of its own. */
export interface Pin {
  readonly key: string;
  readonly unit: UnitNumber;
}

/** A change of a shard's ownership table; applied in order holdings, moves, pins. */
export interface TableChange {
  readonly holdings: Holding[];
  readonly moves: Move[];
  readonly pins: Pin[];
}

/** One entry of a shard's replicated log. An empty change with no replicas is a leader's first entry. */
export interface LogEntry {
  readonly term: number;
  readonly change: TableChange;
  /** The new replica set, or empty when the entry does not change it. */
  readonly replicas: ReplicaId[];
}

export interface Ping {
  readonly kind: 'ping';
  readonly sequence: number;
  readonly digest: Digest;
  readonly updates: Member[];
}
export interface PingAck {
  readonly kind: 'pingAck';
  readonly sequence: number;
  readonly digest: Digest;
  readonly updates: Member[];
}
export interface PingRequest {
  readonly kind: 'pingRequest';
  readonly sequence: number;
  readonly target: DaemonId;
}
export interface MemberSync {
  readonly kind: 'memberSync';
  readonly members: Member[];
  /** True in the answer, which must not be answered again. */
  readonly reply: boolean;
}

/** Fields of every consensus message. */
export interface ShardScope {
  readonly shard: ShardId;
  readonly generation: number;
  readonly term: number;
}
export interface VoteRequest extends ShardScope {
  readonly kind: 'voteRequest';
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly preVote: boolean;
}
export interface VoteReply extends ShardScope {
  readonly kind: 'voteReply';
  readonly granted: boolean;
  readonly preVote: boolean;
  /** The candidate is no longer in the replica set. */
  readonly removed: boolean;
}
export interface Append extends ShardScope {
  readonly kind: 'append';
  /** Number of the leader's heartbeat round; echoed, and proves leadership after the round began. */
  readonly round: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: LogEntry[];
  readonly commitIndex: number;
}
export interface AppendReply extends ShardScope {
  readonly kind: 'appendReply';
  readonly round: number;
  readonly success: boolean;
  readonly matchIndex: number;
  /** The sender holds nothing of the shard: it joined the replica set and needs the whole table. */
  readonly needsSnapshot: boolean;
}
export interface Snapshot extends ShardScope {
  readonly kind: 'snapshot';
  readonly round: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly replicas: ReplicaId[];
  readonly table: TableChange;
}
export interface Form {
  readonly kind: 'form';
  readonly shard: ShardId;
  readonly generation: number;
  readonly replicas: ReplicaId[];
  readonly table: TableChange;
}

export interface TableDelta {
  readonly kind: 'tableDelta';
  readonly shard: ShardId;
  readonly generation: number;
  /** Version the change applies to; 0 means the change is the whole table. */
  readonly fromVersion: number;
  readonly toVersion: number;
  readonly leader: DaemonId;
  /** The daemon at the root of the dissemination tree, or empty for a direct answer that goes no further. */
  readonly root: DaemonId;
  readonly change: TableChange;
  readonly replicas: ReplicaId[];
}
export interface ShardVersion {
  readonly shard: ShardId;
  readonly generation: number;
  readonly version: number;
}
export interface TablePull {
  readonly kind: 'tablePull';
  readonly versions: ShardVersion[];
}
export interface ConfigurationPush {
  readonly kind: 'configurationPush';
  readonly version: number;
  readonly text: string;
  readonly root: DaemonId;
}
export interface ConfigurationPull {
  readonly kind: 'configurationPull';
}
export interface ShardCommand {
  readonly kind: 'shardCommand';
  readonly commandId: number;
  readonly shard: ShardId;
  readonly action: 'move' | 'pin' | 'handOver';
  readonly unit: UnitNumber;
  readonly key: string;
  readonly target: ServerId;
}
export interface ShardCommandReply {
  readonly kind: 'shardCommandReply';
  readonly commandId: number;
  readonly accepted: boolean;
  readonly reason: string;
}

/** Units that the sender's side gave up for good; sent until the other side says that it has them. */
export interface HandOver {
  readonly kind: 'handOver';
  readonly group: string;
  readonly units: UnitNumber[];
  /** The epoch at which each unit was given up: the other side grants above it. */
  readonly epochs: Epoch[];
  /** Internal address of the leader that hands over. */
  readonly replyAddress: string;
}
/** Units that the other side has committed as its own, at the epochs of the hand-over. */
export interface HandOverReply {
  readonly kind: 'handOverReply';
  readonly group: string;
  readonly units: UnitNumber[];
  readonly epochs: Epoch[];
}

/** A leader that stops as planned asks a follower to stand for election at once. */
export interface Campaign extends ShardScope {
  readonly kind: 'campaign';
}

/** Any message of consensus within a formed shard. */
export type ConsensusMessage = VoteRequest | VoteReply | Append | AppendReply | Snapshot | Campaign;

/** Any message between daemons. */
export type PeerMessage =
  | Ping
  | PingAck
  | PingRequest
  | MemberSync
  | ConsensusMessage
  | Form
  | TableDelta
  | TablePull
  | ConfigurationPush
  | ConfigurationPull
  | ShardCommand
  | ShardCommandReply
  | HandOver
  | HandOverReply;

/** A message with its sender. */
export interface Envelope {
  readonly sender: DaemonId;
  readonly senderIncarnation: number;
  /** The receiver drops the message when this is neither 0 nor its own incarnation. */
  readonly recipientIncarnation: number;
  readonly message: PeerMessage;
}

/** A change that changes nothing. */
export function emptyChange(): TableChange {
  return { holdings: [], moves: [], pins: [] };
}
