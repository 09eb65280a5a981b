/**
 * The systems that can be emulated, by name: their zones, server groups and routes. Sizes and delays are
 * those of two users' systems; the concurrency of the servers and the routes are assumptions.
 */
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import { validateRoutingConfiguration } from '../core/configuration/routing-configuration.js';
import { DEFAULT_BEHAVIOUR, type ServerBehaviour } from './server-process.js';

interface GroupDescription {
  readonly name: string;
  readonly kind: 'keyed' | 'balanced';
  readonly servers: number;
}

/** Description of a system. */
export interface SystemDescription {
  readonly name: string;
  readonly zones: readonly string[];
  readonly groups: readonly GroupDescription[];
  readonly behaviour: ServerBehaviour;
  /** One-way delay between two zones. */
  readonly zoneDelayMilliseconds: number;
  /** One-way delay between callers and daemons. */
  readonly clientDelayMilliseconds: number;
  readonly routes: readonly object[];
}

const KLANG_VALLEY: SystemDescription = {
  name: 'klang-valley',
  zones: ['bilik-a', 'bilik-b', 'bilik-c'],
  groups: [
    { name: 'rakstatus', kind: 'keyed', servers: 14 },
    { name: 'tempahan', kind: 'balanced', servers: 7 },
    { name: 'lograk', kind: 'balanced', servers: 12 },
  ],
  behaviour: { ...DEFAULT_BEHAVIOUR, concurrency: 2, connections: 130 },
  zoneDelayMilliseconds: 1,
  clientDelayMilliseconds: 1,
  routes: [
    route('rack-status', '/racks/:rack/status', ['GET'], 'rakstatus', 'rack', true, 'high'),
    route('rack-flash', '/racks/:rack/flash', ['POST'], 'rakstatus', 'rack', false, 'high'),
    route('bookings-read', '/bookings', ['GET'], 'tempahan', null, true, 'high'),
    route('bookings', '/bookings', ['POST'], 'tempahan', null, false, 'high'),
    route('logs', '/logs/*', ['GET'], 'lograk', null, true, 'low'),
  ],
};

const GT_CENTRAL: SystemDescription = {
  name: 'gt-central',
  zones: ['zona-uno', 'mixco-sala', 'villanueva-sala'],
  groups: [
    { name: 'feed-server', kind: 'keyed', servers: 14 },
    { name: 'release-desk', kind: 'balanced', servers: 6 },
    { name: 'archive-store', kind: 'balanced', servers: 13 },
  ],
  behaviour: { ...DEFAULT_BEHAVIOUR, concurrency: 3, connections: 50 },
  zoneDelayMilliseconds: 0.5,
  clientDelayMilliseconds: 3,
  routes: [
    route('feed', '/feeds/:feed', ['GET'], 'feed-server', 'feed', true, 'normal'),
    route('feed-release', '/feeds/:feed/releases', ['POST'], 'feed-server', 'feed', false, 'high'),
    route('release', '/releases', ['POST'], 'release-desk', null, false, 'high'),
    route('archive', '/archive/*', ['GET'], 'archive-store', null, true, 'low'),
  ],
};

/** All systems that can be started by name. */
export const SYSTEMS: readonly SystemDescription[] = [KLANG_VALLEY, GT_CENTRAL];

function route(
  name: string,
  path: string,
  methods: readonly string[],
  group: string,
  key: string | null,
  repeatable: boolean,
  priority: string,
): object {
  const keySource = key === null ? {} : { key: { from: 'path', name: key } };
  return { name, path, methods, group, ...keySource, repeatable, priority };
}

function twoDigits(position: number): string {
  return String(position).padStart(2, '0');
}

/**
 * Returns the routing configuration of a system.
 * @param addressOf returns the address of a server by its position, counted over all groups
 */
export function routingConfigurationOf(
  system: SystemDescription,
  addressOf: (position: number) => string,
): RoutingConfiguration {
  let position = 0;
  const groups = system.groups.map((group) => ({
    name: group.name,
    kind: group.kind,
    servers: Array.from({ length: group.servers }, (_, index) => {
      const server = {
        id: `${group.name}-${twoDigits(index + 1)}`,
        address: addressOf(position),
        zone: system.zones[index % system.zones.length],
        concurrency: system.behaviour.concurrency,
        connections: system.behaviour.connections,
      };
      position += 1;
      return server;
    }),
  }));
  return validateRoutingConfiguration({ groups, routes: system.routes })._unsafeUnwrap();
}

/** Returns the system with a name, or undefined. */
export function findSystem(name: string): SystemDescription | undefined {
  return SYSTEMS.find((system) => system.name === name);
}

/** Returns the system with a name, `klang-valley` by default; throws if there is none. */
export function getSystem(name = 'klang-valley'): SystemDescription {
  const system = findSystem(name);
  if (system === undefined) {
    throw new Error(`unknown system ${name}`);
  }
  return system;
}
