/**
 * The whole state of one daemon. The reducer owns the state and changes it in place; nothing else writes it.
 */
import type { ConfigurationState } from './configuration/configuration-state.js';
import { createConfigurationState } from './configuration/configuration-state.js';
import type { CommandState } from './commands/operator-commands.js';
import { createCommandState } from './commands/operator-commands.js';
import type { ShardReplica } from './consensus/shard-replica.js';
import { createCounters, type Counters } from './counters.js';
import { createTableView, type TableView } from './dissemination/table-view.js';
import type { DaemonId, Milliseconds, ShardId } from './identifiers.js';
import { createMembership, type MembershipState } from './membership/membership.js';
import { createFormationState, type FormationState } from './ownership/shard-formation.js';
import type { ShardLeadership } from './ownership/shard-leadership.js';
import { SeededRandom } from './random.js';
import { createRequestState, type RequestState } from './request/request-state.js';
import type { SafetyRules } from './safety-rules.js';
import { DEFAULT_TIMING, type Timing } from './timing.js';

/** The identity of a daemon, taken from its settings, and the seed of its random numbers. */
export interface DaemonIdentity {
  readonly id: DaemonId;
  /** Number of this run of the daemon's process; larger than that of any earlier run. */
  readonly incarnation: number;
  /** `ip:port` at which the daemon accepts messages from other daemons. */
  readonly address: string;
  readonly zone: string;
  /** The side the daemon belongs to: a deployment with its own store and daemons. */
  readonly side: string;
  readonly seeds: readonly string[];
  readonly randomSeed: number;
}

export interface DaemonState {
  readonly identity: DaemonIdentity;
  readonly timing: Timing;
  readonly rules: SafetyRules;
  readonly random: SeededRandom;
  readonly counters: Counters;
  readonly membership: MembershipState;
  readonly configuration: ConfigurationState;
  readonly replicas: Map<ShardId, ShardReplica>;
  readonly leaderships: Map<ShardId, ShardLeadership>;
  readonly tables: TableView;
  readonly formation: FormationState;
  readonly requests: RequestState;
  readonly commands: CommandState;
  startedAt: Milliseconds;
  /** Whether a planned stop of the daemon is under way. */
  stopping: boolean;
}

/** Creates the state of a daemon that has just started and knows no other daemon. */
export function createDaemonState(
  identity: DaemonIdentity,
  rules: SafetyRules,
  timing: Timing = DEFAULT_TIMING,
): DaemonState {
  const { id, incarnation, address, zone, seeds } = identity;
  const self = { id, incarnation, revision: 0, address, zone, status: 'alive' } as const;
  return {
    identity,
    timing,
    rules,
    random: new SeededRandom(identity.randomSeed),
    counters: createCounters(),
    membership: createMembership(self, seeds),
    configuration: createConfigurationState(),
    replicas: new Map(),
    leaderships: new Map(),
    tables: createTableView(),
    formation: createFormationState(),
    requests: createRequestState(),
    commands: createCommandState(),
    startedAt: -1,
    stopping: false,
  };
}
