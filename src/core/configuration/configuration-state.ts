/**
 * The configuration in force on this daemon, compiled for quick use.
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
  /** Version in force, or 0 before the first. */
  version: number;
  text: string;
  configuration: RoutingConfiguration | null;
  groups: Map<string, GroupConfiguration>;
  servers: Map<string, ServerConfiguration>;
  /** Servers of each shard; worked out once, since leaders ask at every tick. */
  serversOfShards: Map<ShardId, readonly ServerConfiguration[]>;
  matcher: RouteMatcher;
  /** Whether this daemon reads the store, and the membership for which that was worked out. */
  watcherChoice: { readonly members: readonly Member[]; readonly own: boolean; readonly until: Milliseconds };
  /** A read of the store is under way. */
  watching: boolean;
  nextWatchAt: Milliseconds;
  /** The store answered the last call. */
  storeReachable: boolean;
  refusedVersion: number;
}

/** Nothing in force yet. */
export function createConfigurationState(): ConfigurationState {
  return {
    version: 0,
    text: '',
    configuration: null,
    groups: new Map(),
    servers: new Map(),
    serversOfShards: new Map(),
    matcher: new RouteMatcher([]),
    watcherChoice: { members: [], own: false, until: 0 },
    watching: false,
    nextWatchAt: 0,
    storeReachable: false,
    refusedVersion: 0,
  };
}

/** Puts a checked configuration in force. */
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
  state.matcher = new RouteMatcher(configuration.routes);
}
