/**
 * Planted bugs (mutations): each switches off one safety rule. At least one checker must detect each bug
 * within a stated number of seeds, which proves that the checkers work.
 */
import { ALL_RULES, type SafetyRules } from '../core/safety-rules.js';
import type { FaultKind } from './faults.js';

/** A planted bug and the faults that expose it. */
export interface Mutation {
  readonly name: string;
  readonly rules: SafetyRules;
  readonly faults: readonly FaultKind[];
  readonly twoSides?: boolean;
  /** Number of seeds, starting at 1, within which a checker must detect the bug. */
  readonly seeds: number;
}

function allRulesExcept(rule: keyof SafetyRules): SafetyRules {
  return { ...ALL_RULES, [rule]: false };
}

/** All planted bugs. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'skip-lease-wait',
    rules: allRulesExcept('waitForLease'),
    faults: ['server-freeze', 'partition'],
    seeds: 10,
  },
  {
    name: 'skip-election-wait',
    rules: allRulesExcept('waitAfterElection'),
    faults: ['partition', 'leader-crash'],
    seeds: 40,
  },
  {
    name: 'renew-unconfirmed',
    rules: allRulesExcept('confirmStampByQuorum'),
    faults: ['leader-cut', 'partition'],
    seeds: 40,
  },
  {
    name: 'skip-revocation',
    rules: allRulesExcept('waitForRevocation'),
    faults: ['operator-race', 'drain'],
    seeds: 10,
  },
  {
    name: 'hand-over-both',
    rules: allRulesExcept('releaseBeforeHandOver'),
    faults: ['server-freeze', 'partition'],
    twoSides: true,
    seeds: 20,
  },
  {
    name: 'commit-alone',
    rules: allRulesExcept('commitByQuorum'),
    faults: ['leader-cut', 'partition'],
    seeds: 40,
  },
  {
    name: 'older-configuration',
    rules: allRulesExcept('configurationOnlyForward'),
    faults: ['configuration-burst', 'network-bad'],
    seeds: 20,
  },
  {
    name: 'repeat-unrepeatable',
    rules: allRulesExcept('neverRetryNonRepeatable'),
    faults: ['network-bad'],
    seeds: 10,
  },
  {
    name: 'claim-not-run',
    rules: allRulesExcept('reportUnknownAfterLoss'),
    faults: ['network-bad'],
    seeds: 10,
  },
  { name: 'ignore-drain', rules: allRulesExcept('respectDraining'), faults: ['drain'], seeds: 10 },
];
