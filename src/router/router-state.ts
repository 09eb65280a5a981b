/** The complete state of one daemon. Only the reducer changes it, and in place. */
import type { Address } from './model/address.js';
import { SeededRandom } from '../core/random.js';
import { createLoadViewState, type LoadViewState } from './load-view/load-view-state.js';
import { createRouterCounters, type RouterCounters } from './counters.js';
import { type ComparedFeed, createFeedLag, type FeedLag } from './feed-lag-state.js';
import type { Configuration } from './model/configuration.js';
import type { DaemonName, FeedName, Milliseconds, ServerId, ServiceName } from './model/identifiers.js';
import { RouteTable } from './model/route-table.js';
import type { InstanceName } from './model/server-incarnation.js';
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
import { createProxyingState, type ProxyingState } from './proxying/proxying-state.js';
import { createReachabilityState, type ReachabilityState } from './reachability/reachability-state.js';
import type { ServerContact } from './reachability/server-contact.js';
import type { SendWindows } from './sharing/send-windows.js';
import type { HeldQueue } from './request/held-queue.js';
import { RefusedAttempts } from './request/refused-attempts.js';
import type { RetryBudget } from './request/retry-budget.js';
import type { ServerLoad } from './request/server-load.js';
import type { ServiceProfile } from './request/service-profile.js';
import { createTreeState, type TreeState } from './tree/tree-state.js';
import type { KeyRequestCounts } from './tree/key-request-counts.js';
import type { RouterBounds } from './router-bounds.js';
import { TargetRotation } from './request/target-rotation.js';

/** Identifies this daemon and the current run of its process. */
export interface DaemonIdentity {
  readonly daemon: DaemonName;
  readonly zone: string;
  /** The `ip:port` at which other daemons connect. */
  readonly peerAddress: Address;
  /** The `ip:port` at which other daemons send requests of their callers; null or missing: this daemon takes none. */
  readonly proxyAddress?: Address | null;
  /** Random incarnation number, drawn when the process starts. */
  readonly life: number;
  /** Whether the whole deployment starts for the first time: no callers are waiting yet. */
  readonly isFirstStart?: boolean;
}

/** A listed server with this daemon's observations of it. */
export interface KnownServer {
  server: ServerDescription;
  readonly load: ServerLoad;
  readonly contact: ServerContact;
  /** When the server's warm-up ends, as far as this daemon knows. */
  coldUntil: Milliseconds;
  /** Spaces out this daemon's requests to the server while it is cold. */
  readonly coldSendWindows: SendWindows;
  /** When this daemon first saw the server's entry. */
  readonly firstSeenAt: Milliseconds;
  /** The back-off that the server has requested from this daemon. */
  readonly backOff: ServerBackOff;
  /** This daemon's permits for the server while the server announces a rate limit. */
  readonly permits: Permits;
  /** Earliest time since when the server may be draining, by its entry or a response; null: it isn't. */
  drainingSince: Milliseconds | null;
}

export interface RouterState {
  readonly identity: DaemonIdentity;
  bounds: RouterBounds;
  readonly random: SeededRandom;
  readonly counters: RouterCounters;
  configuration: Configuration | null;
  /** Store revision at which the configuration was read; 0 before the first one. */
  configurationRevision: number;
  routes: RouteTable;
  /** Store revision up to which the server list is known; null before the first list. */
  serversRevision: number | null;
  /** The highest revision of any server entry. Daemons that know the same entries have the same value. */
  newestServerRevision: number;
  readonly serverHistory: ServerChangeHistory;
  readonly evacuations: ZoneEvacuations;
  /** Whether this daemon lists and watches the store itself. */
  followsStore: boolean;
  /** When `followsStore` last changed. */
  followsStoreSince: Milliseconds;
  /** Whether this daemon also lists and watches zone evacuations in the store. */
  followsEvacuations: boolean;
  readonly tree: TreeState;
  readonly feedLags: Readonly<Record<ComparedFeed, FeedLag>>;
  readonly feeds: Readonly<Record<FeedName, FeedHealth>>;
  /** Listed servers by id, each in the incarnation that its entry describes. */
  readonly servers: Map<ServerId, KnownServer>;
  /** The listed incarnation of each server name. */
  readonly serverIdsByInstance: Map<InstanceName, ServerId>;
  readonly serversByService: Map<ServiceName, Map<ServerId, KnownServer>>;
  /** Servers that are draining according to their responses. */
  readonly drainingServers: DrainingServers;
  /** Rate limits that servers announce in their responses for the requests of all daemons together. */
  readonly limits: ServerLimits;
  readonly limitUpdates: LimitUpdates;
  readonly permitContact: PermitServiceHealth;
  readonly serviceProfiles: Map<ServiceName, ServiceProfile>;
  readonly reachability: ReachabilityState;
  readonly proxying: ProxyingState;
  /** The last known number of daemons, which share the retry budget. */
  daemons: number;
  /** How many of them have lost their path to the servers of a service. */
  pathlessDaemons: number;
  ownershipView: OwnershipView;
  /** The last view of the leader before this one. */
  formerOwnershipView: OwnershipView;
  readonly recentlyRejectedUnits: RecentlyRejectedUnits;
  readonly election: ElectionState;
  readonly isolation: IsolationState;
  /** Non-null while this daemon is the leader. */
  leadership: Leadership | null;
  readonly requests: Map<number, ActiveRequest>;
  readonly refusedAttempts: RefusedAttempts;
  /** Requests that wait for a usable configuration, by request id. */
  readonly earlyRequests: Map<number, EarlyRequest>;
  /** Requests that wait for a server with room. */
  readonly heldQueues: Map<ServiceName, HeldQueue>;
  readonly retryBudgets: Map<ServiceName, RetryBudget>;
  readonly targetRotation: TargetRotation;
  /** Requests for each key since the last report, at this daemon and its subtree. */
  readonly keyTallies: Map<ServiceName, KeyRequestCounts>;
  readonly loadView: LoadViewState;
  /** Requests during which servers have crashed. */
  readonly crashTable: CrashTable;
  nextCrashExpiryAt: Milliseconds;
  readonly brokenConnections: CrashDetectionState;
  /** The quarantines as the store has them, maintained while this daemon is the leader. */
  readonly storedQuarantines: StoredQuarantinesState;
  /** When the machine last resumed from a suspension: anything confirmed earlier may be stale. */
  resumedAt: Milliseconds;
  nextCallId: number;
  stopping: boolean;
}

/** Number of daemons assumed until the leader reports how many there are. */
const INITIAL_DAEMON_COUNT = 16;

/** Creates the state of a daemon that has just started. */
export function createRouterState(identity: DaemonIdentity, bounds: RouterBounds, seed: number): RouterState {
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
    serverIdsByInstance: new Map(),
    serversByService: new Map(),
    drainingServers: new DrainingServers(),
    limits: new ServerLimits(),
    limitUpdates: new LimitUpdates(),
    permitContact: { isUnresponsive: false, nextProbeAt: 0 },
    serviceProfiles: new Map(),
    reachability: createReachabilityState(),
    proxying: createProxyingState(),
    daemons: INITIAL_DAEMON_COUNT,
    pathlessDaemons: 0,
    ownershipView: EMPTY_VIEW,
    formerOwnershipView: EMPTY_VIEW,
    recentlyRejectedUnits: new RecentlyRejectedUnits(),
    election: createElectionState(),
    isolation: createIsolationState(),
    leadership: null,
    requests: new Map(),
    refusedAttempts: new RefusedAttempts(),
    earlyRequests: new Map(),
    heldQueues: new Map(),
    retryBudgets: new Map(),
    targetRotation: new TargetRotation(),
    keyTallies: new Map(),
    loadView: createLoadViewState(),
    crashTable: new CrashTable(),
    nextCrashExpiryAt: 0,
    brokenConnections: createCrashDetectionState(),
    storedQuarantines: createStoredQuarantinesState(),
    resumedAt: Number.NEGATIVE_INFINITY,
    nextCallId: 1,
    stopping: false,
  };
}

/** Returns when this daemon last received a message of the leader or a response of the store. */
function lastContactAt({ leadership, election, isolation, feeds }: RouterState): Milliseconds {
  return Math.max(
    leadership?.confirmedAt ?? Number.NEGATIVE_INFINITY,
    election.lastHeartbeatAt,
    isolation.storeAnsweredAt,
    feeds.servers.answeredAt,
  );
}

/** Returns why this daemon is not ready for callers' requests, or null when it is ready. */
export function notReadyReason(state: RouterState): string | null {
  if (state.stopping) {
    return 'a planned stop is under way';
  }
  if (state.configuration === null) {
    return 'no configuration is in force';
  }
  if (state.serversRevision === null) {
    return 'no server is known';
  }
  if (lastContactAt(state) < state.resumedAt) {
    return 'the machine was suspended, and neither leader nor store has been heard since';
  }
  if (state.isolation.isViewStale) {
    return 'cut off from the leader and the store, with an old view of ownership';
  }
  return null;
}
