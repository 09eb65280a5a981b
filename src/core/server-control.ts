/**
 * The control call from a shard leader to an upstream server that accepts fenced grants. The runtime sends
 * the call as JSON over HTTP; the simulation passes it directly. docs/design/leases.md argues why it is safe.
 */
import type { Epoch, Milliseconds, ShardId, UnitNumber } from './identifiers.js';

/** A unit with its fencing token. */
export interface UnitEpoch {
  readonly unit: UnitNumber;
  readonly epoch: Epoch;
}

/** The request of a shard leader: renews the server's lease, grants units and revokes units. */
export interface ControlRequest {
  readonly shard: ShardId;
  readonly generation: number;
  readonly term: number;
  readonly sequence: number;
  /** The server's incarnation as last reported, or 0 before the first reply. */
  readonly serverIncarnation: number;
  /** The server's own clock as last reported by it, or null, which renews no lease and grants nothing. */
  readonly stamp: Milliseconds | null;
  /** The duration of the lease, from `stamp` on the server's clock. */
  readonly leaseMilliseconds: Milliseconds;
  readonly grants: UnitEpoch[];
  readonly revokes: UnitEpoch[];
  /** Whether the reply must list every unit that the server holds for the shard. */
  readonly wantInventory: boolean;
}

/** The reason for which a server rejected a whole control call. */
export type ControlRefusal = 'older-leader' | 'other-incarnation';

/** The server's reply to a control call. */
export interface ControlReply {
  readonly sequence: number;
  readonly serverIncarnation: number;
  /**
   * The server's own clock when it replied; the leader sends this value as the `stamp` of a later renewal.
   */
  readonly clock: Milliseconds;
  readonly refusal: ControlRefusal | null;
  /**
   * The number of times that the lease for this shard has expired while the server held units; the server
   * drops all of them each time. A count instead of a flag, so that a lost reply loses no lapse.
   */
  readonly lapseCount: number;
  readonly granted: UnitEpoch[];
  /**
   * Grants rejected because the server has seen a newer epoch of the unit; the leader must grant an epoch
   * above it.
   */
  readonly staleGrants: UnitEpoch[];
  readonly revoked: UnitEpoch[];
  readonly inventory: UnitEpoch[] | null;
  /** Whether the server is draining and accepts no new units. */
  readonly draining: boolean;
}
