/** Daemon settings and routing configurations of the soak, and the ports that the daemons listen on. */
import { createServer } from 'node:net';
import type { DaemonPorts } from './daemon-process.js';

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

/**
 * Ports from here on are below the ephemeral range. An outgoing connection may take an ephemeral port while the daemon that used it is down, and
 * the daemon could not start again.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Ports that this process has already handed out. */
const allocatedPorts = new Set<number>();

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns loopback ports that nobody listens on. Each process starts its search at a port derived from its process id, so that parallel soaks seldom collide. */
export async function allocatePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let port = FIRST_PORT + ((process.pid * 137) % PORT_COUNT); ports.length < count; port += 1) {
    const candidate = FIRST_PORT + ((port - FIRST_PORT) % PORT_COUNT);
    if (!allocatedPorts.has(candidate) && (await isFree(candidate))) {
      allocatedPorts.add(candidate);
      ports.push(candidate);
    }
  }
  return ports;
}
