/** The load of the servers of one service while a plan moves units between them, and the servers that units may move to. */
import type { ServerId } from '../model/identifiers.js';
import { usableRate, type LoadedServer } from './move-benefit.js';
import type { EligibleServer } from './plan-input.js';

/** A server above this utilisation gets no units for owning adjacent ones. Load is moved off servers above it. */
const MAX_SPARE_UTILISATION = 0.5;

/** Returns the warm servers that may get units, or the cold ones if there are no others. */
export function preferredTargets(servers: readonly EligibleServer[]): readonly EligibleServer[] {
  const open = servers.filter((server) => !server.keepsOnlyItsUnits);
  const warm = open.filter((server) => !server.isCold);
  return warm.length > 0 ? warm : open;
}

/** Returns the first of the servers with the highest value. */
function maxBy(
  servers: readonly EligibleServer[],
  valueOf: (server: EligibleServer) => number,
): EligibleServer | undefined {
  let best: EligibleServer | undefined;
  let highest = Number.NEGATIVE_INFINITY;
  for (const server of servers) {
    const value = valueOf(server);
    if (best === undefined || value > highest) {
      best = server;
      highest = value;
    }
  }
  return best;
}

export class ServiceLoad {
  readonly #servers: readonly EligibleServer[];
  /** Servers that units may move to. */
  readonly #targets: readonly EligibleServer[];
  readonly #serversById = new Map<ServerId, EligibleServer>();
  readonly #targetsById: ReadonlyMap<ServerId, EligibleServer>;
  readonly #load = new Map<ServerId, number>();

  constructor(servers: readonly EligibleServer[]) {
    this.#servers = servers;
    this.#targets = preferredTargets(servers);
    this.#targetsById = new Map(this.#targets.map((server) => [server.id, server]));
    for (const server of servers) {
      this.#serversById.set(server.id, server);
      this.#load.set(server.id, 0);
    }
  }

  server(id: ServerId): EligibleServer | undefined {
    return this.#serversById.get(id);
  }

  /**
   * Returns a server that may get units because it owns adjacent ones: it has capacity to spare and has announced no rate limit. A server
   * whose limit comes and goes would get the same units again and again.
   */
  spareTarget(id: ServerId): EligibleServer | undefined {
    const target = this.#targetsById.get(id);
    const isFree = target !== undefined && target.throughput.limit === Number.POSITIVE_INFINITY;
    return isFree && this.utilisation(target) < MAX_SPARE_UTILISATION ? target : undefined;
  }

  add(server: ServerId, rate: number): void {
    const load = this.#load.get(server);
    if (load !== undefined) {
      this.#load.set(server, load + rate);
    }
  }

  of(server: EligibleServer): LoadedServer {
    return { load: this.#load.get(server.id) ?? 0, throughput: server.throughput };
  }

  utilisation(server: EligibleServer): number {
    return (this.#load.get(server.id) ?? 0) / usableRate(server.throughput);
  }

  /** Returns the target with the lowest utilisation; among equals the one with the fewest units. */
  leastUtilised(unitsOf: (server: ServerId) => number): EligibleServer | undefined {
    const byUtilisation = (left: EligibleServer, right: EligibleServer): number =>
      this.utilisation(left) - this.utilisation(right) || unitsOf(left.id) - unitsOf(right.id);
    return [...this.#targets].sort(byUtilisation)[0];
  }

  mostUtilised(excluded: ReadonlySet<ServerId>): EligibleServer | undefined {
    const candidates = this.#servers.filter((server) => !excluded.has(server.id));
    return maxBy(candidates, (server) => this.utilisation(server));
  }

  /**
   * Returns servers that load may move to: the least utilised, the one with the most spare throughput, and
   * the one with the highest throughput.
   */
  targetsFor(hot: EligibleServer): EligibleServer[] {
    const others = this.#targets.filter((server) => server.id !== hot.id);
    const chosen = [
      maxBy(others, (server) => -this.utilisation(server)),
      maxBy(others, (server) => usableRate(server.throughput) - this.of(server).load),
      maxBy(others, ({ throughput }) => usableRate(throughput)),
    ];
    return [...new Set(chosen)].filter((server) => server !== undefined);
  }

  /** Returns the load whose move leaves two servers equally utilised. */
  equalising(hot: EligibleServer, cool: EligibleServer): number {
    const [hotRate, coolRate] = [usableRate(hot.throughput), usableRate(cool.throughput)];
    return (this.of(hot).load * coolRate - this.of(cool).load * hotRate) / (hotRate + coolRate);
  }
}
