/** All that one daemon knows. The reducer changes it in place; nothing else does. */
import { SeededRandom } from '../core/random.js';
import { createRouterCounters, type RouterCounters } from './counters.js';
import { type ComparedFeed, createFeedLag, type FeedLag } from './feed-lag-state.js';
import type { Configuration } from './model/configuration.js';
import type { DaemonName, FeedName, Milliseconds, ServerId, ServiceName } from './model/identifiers.js';
import { RouteTable } from './model/route-table.js';
import type { InstanceName } from './model/server-life.js';
import type { ServerDescription } from './model/server.js';
import { RecentlyRejectedUnits } from './ownership/recently-rejected-units.js';
import { createElectionState, type ElectionState } from './ownership/election-state.js';
import { createIsolationState, type IsolationState } from './ownership/isolation-state.js';
import type { Leadership } from './ownership/leadership-state.js';
import { createFeedHealths, type FeedHealth } from './news/feed-health-state.js';
import { ServerChangeHistory } from './news/server-change-history.js';
import { ServerBackOff } from './notices/server-back-off.js';
import { LimitUpdates } from './limits/limit-updates.js';
import type { PermitServiceHealth } from './limits/permit-service-health.js';
import type { Permits } from './limits/permits.js';
import { ServerLimits } from './limits/server-limits.js';
import { DrainingServers } from './notices/draining-servers.js';
import { ZoneEvacuations } from './news/zone-evacuations.js';
import { EMPTY_VIEW, type OwnershipView } from './ownership/ownership-view.js';
import type { ActiveRequest, EarlyRequest } from './request/active-request.js';
import { CrashTable } from './quarantine/crash-table.js';
import { createCrashDetectionState, type CrashDetectionState } from './quarantine/crash-detection-state.js';
import {
  createStoredQuarantinesState,
  type StoredQuarantinesState,
} from './quarantine/stored-quarantines-state.js';
import type { SendWindows } from './sharing/send-windows.js';
import type { RetryBudget } from './request/retry-budget.js';
import type { ServerLoad } from './request/server-load.js';
import type { ServiceProfile } from './request/service-profile.js';
import { createTreeState, type TreeState } from './tree/tree-state.js';
import type { KeyRequestCounts } from './tree/key-request-counts.js';
import type { RouterBounds } from './router-bounds.js';
import { TargetRotation } from './request/target-rotation.js';

/** Who this daemon is. */
export interface Identity {
  readonly daemon: DaemonName;
  readonly zone: string;
  /** `ip:port` for the other daemons. */
  readonly peerAddress: string;
  /** Drawn at the start of the process. */
  readonly life: number;
  /** The whole deployment starts for the first time: no callers wait yet. */
  readonly isFirstStart?: boolean;
}

/** A listed server and what this daemon has seen of it. */
export interface KnownServer {
  server: ServerDescription;
  readonly load: ServerLoad;
  /** It is cold, as far as this daemon knows, until then. */
  coldUntil: Milliseconds;
  /** When it may get requests of this daemon while it is cold. */
  readonly coldTurns: SendWindows;
  /** When this daemon learned of it. */
  readonly knownSince: Milliseconds;
  /** The rest that it wants from this daemon. */
  readonly rest: ServerBackOff;
  /** Its places for this daemon while it names a limit. */
  readonly permits: Permits;
  /** When this daemon learned that it leaves, by its entry or by an answer, whichever came first; null: it doesn't. */
  drainingSince: Milliseconds | null;
}

export interface RouterState {
  readonly identity: Identity;
  bounds: RouterBounds;
  readonly random: SeededRandom;
  readonly counters: RouterCounters;
  configuration: Configuration | null;
  /** Of the store, as it had the configuration; 0 before the first one. */
  configurationRevision: number;
  routes: RouteTable;
  /** Of the store when the servers were read last; null before the first list. */
  serversRevision: number | null;
  /** The highest revision of a server's entry: the same at daemons that know the same entries. */
  newestServerRevision: number;
  readonly serverHistory: ServerChangeHistory;
  readonly evacuations: ZoneEvacuations;
  /** This daemon lists and watches the store itself. */
  followsStore: boolean;
  /** Since when that is so, or is not. */
  followsStoreSince: Milliseconds;
  /** It follows evacuations there, too. */
  followsEvacuations: boolean;
  readonly tree: TreeState;
  readonly feedLags: Readonly<Record<ComparedFeed, FeedLag>>;
  readonly feeds: Readonly<Record<FeedName, FeedHealth>>;
  /** Listed servers, each in the life that its entry tells of. */
  readonly servers: Map<ServerId, KnownServer>;
  /** The life that the list has under each name. */
  readonly lives: Map<InstanceName, ServerId>;
  readonly serversByService: Map<ServiceName, Map<ServerId, KnownServer>>;
  /** What answers said of servers that leave. */
  readonly leaving: DrainingServers;
  /** Limits that answers named for what servers get of all daemons. */
  readonly limits: ServerLimits;
  readonly limitUpdates: LimitUpdates;
  readonly permitContact: PermitServiceHealth;
  readonly profiles: Map<ServiceName, ServiceProfile>;
  /** Daemons that share the retry budget, as last heard. */
  daemons: number;
  view: OwnershipView;
  readonly doubtedUnits: RecentlyRejectedUnits;
  readonly election: ElectionState;
  readonly isolation: IsolationState;
  /** Set while this daemon leads. */
  leadership: Leadership | null;
  readonly requests: Map<number, ActiveRequest>;
  /** Held until the first configuration is known, by number. */
  readonly early: Map<number, EarlyRequest>;
  readonly budgets: Map<ServiceName, RetryBudget>;
  readonly rotation: TargetRotation;
  /** Keys that callers asked for, here and below, since the last report. */
  readonly keyTallies: Map<ServiceName, KeyRequestCounts>;
  /** Under which requests servers have ended. */
  readonly crashes: CrashTable;
  nextCrashExpiryAt: Milliseconds;
  readonly serverEnds: CrashDetectionState;
  /** What the store has of the quarantines, while this daemon leads. */
  readonly storedQuarantines: StoredQuarantinesState;
  /** When the machine was last suspended: nothing that was confirmed before it may be taken as still true. */
  resumedAt: Milliseconds;
  nextCallId: number;
  stopping: boolean;
}

/** Assumed before the leader has said how many daemons there are. */
const FIRST_DAEMONS = 16;

/** The state of a daemon that has just started. */
export function createRouterState(identity: Identity, bounds: RouterBounds, seed: number): RouterState {
  return {
    identity,
    bounds,
    random: new SeededRandom(seed),
    counters: createRouterCounters(),
    configuration: null,
    configurationRevision: 0,
    routes: new RouteTable([]),
    serversRevision: null,
    newestServerRevision: 0,
    serverHistory: new ServerChangeHistory(),
    evacuations: new ZoneEvacuations(),
    followsStore: false,
    followsStoreSince: 0,
    followsEvacuations: false,
    tree: createTreeState(),
    feedLags: { configuration: createFeedLag(), servers: createFeedLag() },
    feeds: createFeedHealths(),
    servers: new Map(),
    lives: new Map(),
    serversByService: new Map(),
    leaving: new DrainingServers(),
    limits: new ServerLimits(),
    limitUpdates: new LimitUpdates(),
    permitContact: { isUnresponsive: false, nextProbeAt: 0 },
    profiles: new Map(),
    daemons: FIRST_DAEMONS,
    view: EMPTY_VIEW,
    doubtedUnits: new RecentlyRejectedUnits(),
    election: createElectionState(),
    isolation: createIsolationState(),
    leadership: null,
    requests: new Map(),
    early: new Map(),
    budgets: new Map(),
    rotation: new TargetRotation(),
    keyTallies: new Map(),
    crashes: new CrashTable(),
    nextCrashExpiryAt: 0,
    serverEnds: createCrashDetectionState(),
    storedQuarantines: createStoredQuarantinesState(),
    resumedAt: Number.NEGATIVE_INFINITY,
    nextCallId: 1,
    stopping: false,
  };
}

/** When this daemon last had word of the leader or of the store. */
function heardAt({ leadership, election, isolation, feeds }: RouterState): Milliseconds {
  return Math.max(
    leadership?.confirmedAt ?? Number.NEGATIVE_INFINITY,
    election.lastHeartbeatAt,
    isolation.storeAnsweredAt,
    feeds.servers.answeredAt,
  );
}

/** Why this daemon should get no callers yet, or null when it should. */
export function missingForCallers(state: RouterState): string | null {
  if (state.stopping) {
    return 'a planned stop is under way';
  }
  if (state.configuration === null) {
    return 'no configuration is in force';
  }
  if (state.serversRevision === null) {
    return 'no server is known';
  }
  if (heardAt(state) < state.resumedAt) {
    return 'the machine was suspended, and neither leader nor store has been heard since';
  }
  if (state.isolation.isViewStale) {
    return 'cut off from the leader and the store, with an old view of ownership';
  }
  return null;
}
