/** What the soak runs: settings of the daemons, configurations, and which routes each version has. */
import { createServer, type AddressInfo } from 'node:net';
import type { DaemonPorts } from './daemon-process.js';

/** In the daemons' settings, in seconds. */
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

/** A version has its own route and that of the version before it. */
export function addedRoutes(version: number): number[] {
  return [version - 1, version];
}

/** The configuration of a version, as operators write it. */
export function configurationOf(version: number): object {
  const added = addedRoutes(version).map((number) => route(`added-${number}`, 'plain', 'safe'));
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

/** The settings of one daemon. */
export function settingsOf(index: number, ports: DaemonPorts, storeAddress: string): object {
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

/** Ports of loopback that nobody listens on. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
