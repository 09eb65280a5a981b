/** Daemon settings and routing configurations of the soak. */
import type { DaemonPorts } from './daemon-process.js';
import type { FakeServer } from './fake-server.js';

/** Timing settings of the daemons, in seconds. */
export const TIMING = {
  stopGrace: 4,
  drain: 2,
  configuration: 2,
  longestLease: 10,
  evacuation: 4,
  retryWindow: 10,
};
export const HOST = 'soak.example';
export const ZONES = ['z0', 'z1', 'z2'];

function route(name: string, service: string, routeType: 'safe' | 'unsafe'): object {
  const times = { timeoutS: 2, targetLatencyS: 0.4, priority: 1, maxAttempts: 2 };
  return { name, host: HOST, pathPrefix: `/${name}/`, routeType, service, ...times };
}

/** Returns the versions whose routes a configuration version contains: its own and that of the version before. */
export function versionsWithRoutes(version: number): number[] {
  return [version - 1, version];
}

/** Returns the configuration of a version, in the form in which operators write it. */
export function createConfiguration(version: number): object {
  const added = versionsWithRoutes(version).map((number) => route(`added-${number}`, 'plain', 'safe'));
  return {
    version,
    routes: [route('keyed', 'keyed', 'safe'), route('once', 'plain', 'unsafe'), ...added],
    services: [
      { name: 'keyed', maxConns: 100, sharded: true },
      { name: 'plain', maxConns: 100 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutS: 3, idleTimeoutS: 30 },
  };
}

/** Returns the settings of one daemon. */
export function createDaemonSettings(index: number, ports: DaemonPorts, storeAddress: string): object {
  return {
    daemon: `d${index}`,
    zone: ZONES[index % ZONES.length],
    listen: ports,
    store: { address: storeAddress, history: 20 },
    limits: { memoryMegabytes: 200 },
    timing: TIMING,
    retries: { ratio: 0.2, extra: 60 },
  };
}

/** Returns the entry of a server in the store. A server whose start time is not known states none. */
export function createServerEntry(
  { service, address, zone, born }: FakeServer,
  state: 'ready' | 'draining',
): object {
  const capacity = { version: '1', capacity: 8, warmupLeftS: 0, sequence: 1 };
  return { service, address, zone, state, ...capacity, ...(born === null ? {} : { born }) };
}
