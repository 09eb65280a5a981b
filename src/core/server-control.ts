/**
 * The control call between a shard leader and a server that accepts fenced grants. Carried as JSON over
 * HTTP by the runtime, and directly in the simulation. docs/design/leases.md argues why it is safe.
 */
import type { Epoch, Milliseconds, ShardId, UnitNumber } from './identifiers.js';

/** One unit at one epoch. */
export interface UnitEpoch {
  readonly unit: UnitNumber;
  readonly epoch: Epoch;
}

/** A leader's call: renews the lease, grants and revokes. */
export interface ControlRequest {
  readonly shard: ShardId;
  readonly generation: number;
  readonly term: number;
  readonly sequence: number;
  /** The server's incarnation as last reported, or 0 before the first answer. */
  readonly serverIncarnation: number;
  /** The server's own clock as it last reported it, or null: then no lease is renewed and nothing granted. */
  readonly stamp: Milliseconds | null;
  /** The lease runs for this long from `stamp` on the server's clock. */
  readonly leaseMilliseconds: Milliseconds;
  readonly grants: UnitEpoch[];
  readonly revokes: UnitEpoch[];
  /** Ask for every unit the server holds for the shard. */
  readonly wantInventory: boolean;
}

/** Why a server took nothing from a call. */
export type ControlRefusal = 'older-leader' | 'other-incarnation';

/** The server's answer. */
export interface ControlReply {
  readonly sequence: number;
  readonly serverIncarnation: number;
  /** The server's own clock when it answered: the stamp of a later renewal. */
  readonly clock: Milliseconds;
  readonly refusal: ControlRefusal | null;
  /**
   * How often the lease of this shard has run out while units were held; each time all of them were
   * dropped. A count, not a flag: it tells the same in whichever answer reaches the leader.
   */
  readonly lapseCount: number;
  readonly granted: UnitEpoch[];
  /** Grants refused because a newer epoch of the unit is known; the leader must grant a newer one. */
  readonly staleGrants: UnitEpoch[];
  readonly revoked: UnitEpoch[];
  readonly inventory: UnitEpoch[] | null;
  /** The server is leaving and wants no new work. */
  readonly draining: boolean;
}
