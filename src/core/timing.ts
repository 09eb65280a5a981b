/**
 * The time constants of the control plane. Together they ensure that a key is served again within 2 s of a
 * loss: docs/design/leases.md gives the sum.
 */
import type { Milliseconds } from './identifiers.js';

/** The durations that the reducer uses, in milliseconds. */
export interface Timing {
  /** The interval between two `tick` events. */
  readonly tick: Milliseconds;
  /** The interval between two pings of the membership protocol. */
  readonly pingInterval: Milliseconds;
  /**
   * The time without an acknowledgement after which other members are asked to ping the target (an indirect
   * ping).
   */
  readonly pingTimeout: Milliseconds;
  /** The time after which a suspected member is declared dead. */
  readonly suspicionTimeout: Milliseconds;
  /** The interval between a leader's heartbeats to the followers of its shard. */
  readonly heartbeat: Milliseconds;
  /** The shortest time without leader contact after which a follower starts an election. */
  readonly minElectionTimeout: Milliseconds;
  /** Added to the minimum election timeout after multiplication by a random number in [0, 1). */
  readonly electionTimeoutJitter: Milliseconds;
  /** The duration of a server's lease, on the server's own clock. */
  readonly serverLease: Milliseconds;
  /** The interval between two renewals of a server's lease. */
  readonly leaseRenewalInterval: Milliseconds;
  /** The timeout of a control call to a server. */
  readonly controlTimeout: Milliseconds;
  /**
   * Added to the lease duration before an unresponsive server's units are reassigned, to cover clock drift.
   */
  readonly clockDriftMargin: Milliseconds;
  /**
   * The time without a reply after which a replica is replaced if the membership does not list it as alive.
   */
  readonly replicaReplacementDelay: Milliseconds;
  /** The time that a new shard leader waits for reports from servers before it first assigns units. */
  readonly firstAssignmentDelay: Milliseconds;
  /** The interval between two checks of the balance of a shard. */
  readonly rebalanceInterval: Milliseconds;
  /** The delay before the next call to the store after a failed one. */
  readonly storeRetryDelay: Milliseconds;
}

/** The durations used in production. */
export const DEFAULT_TIMING: Timing = {
  tick: 20,
  pingInterval: 1_000,
  pingTimeout: 300,
  suspicionTimeout: 3_000,
  heartbeat: 150,
  minElectionTimeout: 350,
  electionTimeoutJitter: 200,
  serverLease: 1_000,
  leaseRenewalInterval: 300,
  controlTimeout: 250,
  clockDriftMargin: 50,
  replicaReplacementDelay: 2_000,
  firstAssignmentDelay: 600,
  rebalanceInterval: 1_000,
  storeRetryDelay: 1_000,
};
