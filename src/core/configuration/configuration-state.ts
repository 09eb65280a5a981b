/**
 * Routing configuration in force on this daemon, with indexes for fast lookup.
 */
import type { Milliseconds, ShardId } from '../identifiers.js';
import type { Member } from '../messages.js';
import { RouteMatcher } from '../routing/route-matcher.js';
import { serversByShard } from './shard-layout.js';
import type {
  GroupConfiguration,
  RoutingConfiguration,
  ServerConfiguration,
} from './routing-configuration.js';

export interface ConfigurationState {
  /** Version in force, or 0 if there is none yet. */
  version: number;
  text: string;
  configuration: RoutingConfiguration | null;
  groups: Map<string, GroupConfiguration>;
  servers: Map<string, ServerConfiguration>;
  /** Servers of each shard, precomputed because leaders read them at every tick. */
  serversOfShards: Map<ShardId, readonly ServerConfiguration[]>;
  routeMatcher: RouteMatcher;
  /** Whether this daemon watches the store, cached with the membership for which it was computed. */
  watcherDecision: {
    readonly members: readonly Member[];
    readonly own: boolean;
    readonly validUntil: Milliseconds;
  };
  /** A read of the store is in progress. */
  storeReadPending: boolean;
  nextStoreReadAt: Milliseconds;
  /** The store responded to the last call. */
  storeReachable: boolean;
  rejectedVersion: number;
}

/** Creates the state of a daemon without a configuration. */
export function createConfigurationState(): ConfigurationState {
  return {
    version: 0,
    text: '',
    configuration: null,
    groups: new Map(),
    servers: new Map(),
    serversOfShards: new Map(),
    routeMatcher: new RouteMatcher([]),
    watcherDecision: { members: [], own: false, validUntil: 0 },
    storeReadPending: false,
    nextStoreReadAt: 0,
    storeReachable: false,
    rejectedVersion: 0,
  };
}

/** Puts a validated configuration in force. */
export function putInForce(
  state: ConfigurationState,
  version: number,
  text: string,
  configuration: RoutingConfiguration,
): void {
  state.version = version;
  state.text = text;
  state.configuration = configuration;
  state.groups = new Map(configuration.groups.map((group) => [group.name, group]));
  state.servers = new Map(
    configuration.groups.flatMap((group) => group.servers).map((server) => [server.id, server]),
  );
  state.serversOfShards = serversByShard(configuration);
  state.routeMatcher = new RouteMatcher(configuration.routes);
}
