/**
 * The rules on which the promises rest, each with a switch. They are all on in the product; the
 * simulation switches one off at a time to prove that its checkers notice (a mutation).
 */

/** True: the rule holds. */
export interface SafetyRules {
  /** A silent server's units go elsewhere only after its lease has run out. */
  readonly waitForLease: boolean;
  /** A new leader counts the lease from its own election for servers it has not heard from. */
  readonly waitAfterElection: boolean;
  /** A stamp renews a lease only after a quorum has confirmed the leader since the stamp came. */
  readonly confirmStampByQuorum: boolean;
  /** A unit moves only after its owner acknowledged the revocation. */
  readonly waitForRevocation: boolean;
  /** A unit goes to another side only after its owner on this side gave it up. */
  readonly releaseBeforeHandOver: boolean;
  /** A change counts as committed only when a majority of replicas holds it. */
  readonly commitByQuorum: boolean;
  /** A message for another life of a daemon is dropped; a restarted daemon is a new replica. */
  readonly checkIncarnation: boolean;
  /** A replica votes once in a term. */
  readonly voteOncePerTerm: boolean;
  /** Configurations are put in force only in growing order. */
  readonly configurationOnlyForward: boolean;
  /** Ownership tables are taken over only in growing order. */
  readonly tableOnlyForward: boolean;
  /** A request that may not be repeated is not sent again once a server may have run it. */
  readonly neverRepeatUnrepeatable: boolean;
  /** `not-run` is said only of a request that no server can have run. */
  readonly sayUnknownAfterLoss: boolean;
  /** A draining server is given no new work. */
  readonly respectDraining: boolean;
}

/** The rules as they ship. */
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
  neverRepeatUnrepeatable: true,
  sayUnknownAfterLoss: true,
  respectDraining: true,
};
