/**
 * The rules on which the safety guarantees depend, each with a switch. All rules are enforced in production;
 * the simulation turns off one rule at a time (a mutation) to prove that its checkers detect the violation.
 */

/** The switch of each rule; true means that the rule is enforced. */
export interface SafetyRules {
  /** The units of an unresponsive server are reassigned only after its lease has expired. */
  readonly waitForLease: boolean;
  /**
   * A new leader assumes that a server it has no report from was granted a lease at the time of the election.
   */
  readonly waitAfterElection: boolean;
  /**
   * A server's clock stamp renews a lease only after a quorum has confirmed the leader since the stamp
   * arrived.
   */
  readonly confirmStampByQuorum: boolean;
  /** A unit moves only after its owner has acknowledged the revocation. */
  readonly waitForRevocation: boolean;
  /** A unit is handed over to another side only after its owner on this side has released it. */
  readonly releaseBeforeHandOver: boolean;
  /** A change is committed only when a majority of replicas has it in the log. */
  readonly commitByQuorum: boolean;
  /** A daemon drops a message for another incarnation of itself; a restarted daemon is a new replica. */
  readonly checkIncarnation: boolean;
  /** A replica votes for at most one candidate in a term. */
  readonly voteOncePerTerm: boolean;
  /** A daemon applies configurations only in increasing order of version. */
  readonly configurationOnlyForward: boolean;
  /** A daemon applies updates of an ownership table only in increasing order of version. */
  readonly tableOnlyForward: boolean;
  /** A non-repeatable request is not retried once a server may have run it. */
  readonly neverRetryNonRepeatable: boolean;
  /** The outcome `not-run` is reported only for a request that no server can have run. */
  readonly reportUnknownAfterLoss: boolean;
  /** A draining server is granted no further units and sent no new requests of balanced groups. */
  readonly respectDraining: boolean;
}

/** The rules as enforced in production. */
export const ALL_RULES: SafetyRules = {
  waitForLease: true,
  waitAfterElection: true,
  confirmStampByQuorum: true,
  waitForRevocation: true,
  releaseBeforeHandOver: true,
  commitByQuorum: true,
  checkIncarnation: true,
  voteOncePerTerm: true,
  configurationOnlyForward: true,
  tableOnlyForward: true,
  neverRetryNonRepeatable: true,
  reportUnknownAfterLoss: true,
  respectDraining: true,
};
