/**
 * The time constants of the control plane. Together they carry the promise that a key is served again
 * within 2 s of a loss: see docs/design/leases.md for the sum.
 */
import type { Milliseconds } from './identifiers.js';

/** Every duration the reducer uses, in milliseconds. */
export interface Timing {
  /** How often the runtime sends a `tick`. */
  readonly tick: Milliseconds;
  /** Between two pings of the membership protocol. */
  readonly pingInterval: Milliseconds;
  /** Unanswered pings turn indirect after this long. */
  readonly pingTimeout: Milliseconds;
  /** A suspected member is declared dead after this long. */
  readonly suspicion: Milliseconds;
  /** A leader's heartbeat to the followers of its shard. */
  readonly heartbeat: Milliseconds;
  /** Shortest silence after which a follower stands for election. */
  readonly electionMinimum: Milliseconds;
  /** Added to the shortest silence, times a random number in [0, 1). */
  readonly electionSpread: Milliseconds;
  /** How long a server's lease lasts on the server's own clock. */
  readonly serverLease: Milliseconds;
  /** Between two renewals of a server's lease. */
  readonly renewInterval: Milliseconds;
  /** A control call without an answer is given up after this long. */
  readonly controlTimeout: Milliseconds;
  /** Added to the lease before a silent server's units go elsewhere: covers clock drift. */
  readonly driftMargin: Milliseconds;
  /** A replica silent for this long, and not alive by membership, is replaced. */
  readonly replicaReplacement: Milliseconds;
  /** A new shard leader waits this long for servers to report before the first assignment. */
  readonly firstAssignment: Milliseconds;
  /** Between two looks at the balance of a shard. */
  readonly rebalanceInterval: Milliseconds;
  /** Between two tries to reach the platform's store. */
  readonly storeRetry: Milliseconds;
}

/** The values that ship. */
export const DEFAULT_TIMING: Timing = {
  tick: 20,
  pingInterval: 1_000,
  pingTimeout: 300,
  suspicion: 3_000,
  heartbeat: 150,
  electionMinimum: 350,
  electionSpread: 200,
  serverLease: 1_000,
  renewInterval: 300,
  controlTimeout: 250,
  driftMargin: 50,
  replicaReplacement: 2_000,
  firstAssignment: 600,
  rebalanceInterval: 1_000,
  storeRetry: 1_000,
};
