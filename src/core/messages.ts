/**
 * The messages between daemons, as a union discriminated by `kind`. Each type mirrors the message of the same
 * name in proto/messages.proto; `src/wire/codec.ts` converts between them.
 */
import type { DaemonId, Epoch, ReplicaId, ServerId, ShardId, UnitNumber } from './identifiers.js';

/** The status of a member in the view of one daemon. */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left';

/** One daemon in the membership list. */
export interface Member {
  readonly id: DaemonId;
  /** Chosen at process start; a record with a larger incarnation replaces one with a smaller incarnation. */
  readonly incarnation: number;
  /** Increases within one incarnation when the daemon refutes a suspicion or leaves. */
  readonly revision: number;
  /** `ip:port` at which the daemon accepts messages from other daemons. */
  readonly address: string;
  readonly zone: string;
  readonly status: MemberStatus;
}

/**
 * A digest of the sender's state, by which the receiver detects that either of the two has missed updates.
 */
export interface Digest {
  readonly configurationVersion: number;
  /** Sum of the hashes of each shard's (generation, version), modulo 2^32. */
  readonly tableDigest: number;
  /** Sum of the hashes of each alive or suspected member's (id, incarnation), modulo 2^32. */
  readonly memberDigest: number;
}

/** The units that one server owns, with the epoch of each unit at the same index. */
export interface Holding {
  readonly server: ServerId;
  readonly units: UnitNumber[];
  readonly epochs: Epoch[];
}

/** A unit that is being moved to another server. */
export interface Move {
  readonly unit: UnitNumber;
  readonly target: ServerId;
}

/** A single key that forms a unit of its own. */
export interface Pin {
  readonly key: string;
  readonly unit: UnitNumber;
}

/** A change of a shard's ownership table. Holdings are applied first, then moves, then pins. */
export interface TableChange {
  readonly holdings: Holding[];
  readonly moves: Move[];
  readonly pins: Pin[];
}

/**
 * One entry of a shard's replicated log. A new leader first appends an entry with an empty change and no
 * replicas.
 */
export interface LogEntry {
  readonly term: number;
  readonly change: TableChange;
  /** The new replica set, or empty when the entry leaves the set unchanged. */
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
  /** Whether this is the response to a sync; a response is not answered. */
  readonly reply: boolean;
}

/** The fields that all consensus messages have. */
export interface ConsensusMessageFields {
  readonly shard: ShardId;
  readonly generation: number;
  readonly term: number;
}
export interface VoteRequest extends ConsensusMessageFields {
  readonly kind: 'voteRequest';
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly preVote: boolean;
}
export interface VoteReply extends ConsensusMessageFields {
  readonly kind: 'voteReply';
  readonly granted: boolean;
  readonly preVote: boolean;
  /** Whether the candidate is missing from the voter's replica set. */
  readonly removed: boolean;
}
export interface Append extends ConsensusMessageFields {
  readonly kind: 'append';
  /**
   * The leader's heartbeat round. A reply that echoes it proves that the follower accepted the leader after
   * the round began.
   */
  readonly round: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: LogEntry[];
  readonly commitIndex: number;
}
export interface AppendReply extends ConsensusMessageFields {
  readonly kind: 'appendReply';
  readonly round: number;
  readonly success: boolean;
  readonly matchIndex: number;
  /** Whether the sender has no state of the shard: it is new in the replica set and needs a snapshot. */
  readonly needsSnapshot: boolean;
}
export interface Snapshot extends ConsensusMessageFields {
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
  /** The version that the change applies to; 0 means that the change contains the whole table. */
  readonly fromVersion: number;
  readonly toVersion: number;
  readonly leader: DaemonId;
  /**
   * The daemon at the root of the propagation tree, or empty for a direct response, which is not propagated.
   */
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

/** Units that the sender's side has permanently released; resent until the other side acknowledges them. */
export interface HandOver {
  readonly kind: 'handOver';
  readonly group: string;
  readonly units: UnitNumber[];
  /** The epoch at which each unit was released; the other side grants the unit at a higher epoch. */
  readonly epochs: Epoch[];
  /** The internal address of the shard leader that hands the units over. */
  readonly replyAddress: string;
}
/** Acknowledges units that the receiving side has committed as its own, at the epochs of the hand-over. */
export interface HandOverReply {
  readonly kind: 'handOverReply';
  readonly group: string;
  readonly units: UnitNumber[];
  readonly epochs: Epoch[];
}

/** Sent by a leader during a planned stop: asks a follower to start an election immediately. */
export interface Campaign extends ConsensusMessageFields {
  readonly kind: 'campaign';
}

/** Any message between the replicas of a formed shard. */
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

/** A message with its sender and the incarnations of sender and recipient. */
export interface Envelope {
  readonly sender: DaemonId;
  readonly senderIncarnation: number;
  /** The receiver drops the message when this is neither 0 nor its own incarnation. */
  readonly recipientIncarnation: number;
  readonly message: PeerMessage;
}

/** Creates a change without holdings, moves or pins. */
export function createEmptyChange(): TableChange {
  return { holdings: [], moves: [], pins: [] };
}
