/**
 * Checks requests of simulated daemons against the bounds on changes in the store. A daemon is checked unless its own machine, its own path to the
 * store or the store was disturbed; late links and other daemons excuse nothing.
 */
import type { Configuration } from '../../../src/router/model/configuration.js';
import { BOUNDS } from './bounds.js';
import type { RouterSimulation } from './router-simulation.js';
import type { SimulatedDaemon } from './simulated-daemon.js';

/** A request that a daemon handled against a change that the store had accepted longer ago than the bound. */
export interface LateSend {
  readonly change: 'drain' | 'evacuation' | 'configuration';
  readonly route: string;
  readonly daemon: string;
  /** Time in milliseconds from the acceptance of the change to the request's arrival, or to its sending for configurations. */
  readonly age: number;
  /** Whether the server ran the request; otherwise it rejected the request as misdirected. */
  readonly isRun: boolean;
}

/** The part of a caller's request that the checks need. */
export interface CheckedRequest {
  readonly daemon: SimulatedDaemon;
  readonly route: string;
  readonly sentAt: number;
}

/** A kind of change in the store. */
type Change = LateSend['change'];

/** Knows when the store accepted each change, and records the requests that daemons handle against one too late. */
export class BoundChecks {
  readonly lateSends: LateSend[] = [];
  readonly #simulation: RouterSimulation;
  readonly #drainedAt = new Map<string, number>();
  readonly #evacuatedAt = new Map<string, number>();
  readonly #configurations: { readonly configuration: Configuration; readonly acceptedAt: number }[] = [];
  readonly #disturbedAt = new Map<SimulatedDaemon, number>();

  constructor(simulation: RouterSimulation) {
    this.#simulation = simulation;
  }

  /** Records that the store accepts now that a server drains. */
  drained(server: string): void {
    this.#drainedAt.set(server, this.#simulation.clock.now);
  }

  /** Records that the store accepts now that the given zones are evacuated, and no others. */
  evacuated(zones: readonly string[]): void {
    const former = new Map(this.#evacuatedAt);
    this.#evacuatedAt.clear();
    zones.forEach((zone) => this.#evacuatedAt.set(zone, former.get(zone) ?? this.#simulation.clock.now));
  }

  /** Records that the store accepts a configuration now. */
  configured(configuration: Configuration): void {
    this.#configurations.push({ configuration, acceptedAt: this.#simulation.clock.now });
  }

  /**
   * Whether a daemon, its path to the store and the store have been undisturbed for the contact time. Faults other than suspensions and outages
   * are noticed by calls while they last.
   */
  isInTouch(daemon: SimulatedDaemon): boolean {
    const { clock, store } = this.#simulation;
    if (daemon.machine.isSlow || !daemon.storeReachable || !daemon.alive) {
      this.#disturbedAt.set(daemon, clock.now);
    }
    const disturbedAt = Math.max(daemon.pausedUntil, this.#disturbedAt.get(daemon) ?? 0, store.downUntil);
    return clock.now - disturbedAt > BOUNDS.contact;
  }

  /** Checks a request that reaches a server now. */
  checkArrival(request: CheckedRequest, server: string, isRun: boolean): void {
    const entry = request.daemon.state.servers.get(server)?.server;
    const { drain, evacuation } = BOUNDS;
    this.#checkAge(request, isRun, 'drain', this.#drainedAt.get(server), drain);
    this.#checkAge(request, isRun, 'evacuation', this.#evacuatedAt.get(entry?.zone ?? ''), evacuation ?? 0);
    this.#checkConfiguration(request, isRun, (configuration) =>
      hasRoute(configuration, request.route, entry?.service),
    );
  }

  /** Checks a request that is answered now with the statement that it has no route. */
  checkMissingRoute(request: CheckedRequest): void {
    this.#checkConfiguration(request, false, (configuration) => !hasRoute(configuration, request.route));
  }

  #checkAge(
    request: CheckedRequest,
    isRun: boolean,
    change: Change,
    acceptedAt: number | undefined,
    bound: number,
  ): void {
    const age = this.#simulation.clock.now - (acceptedAt ?? Number.POSITIVE_INFINITY);
    if (age > bound) {
      this.#report(request, { change, age, isRun });
    }
  }

  /** Checks that a configuration which was in force for the request allows what the daemon did with it. */
  #checkConfiguration(
    request: CheckedRequest,
    isRun: boolean,
    allows: (configuration: Configuration) => boolean,
  ): void {
    const ages = this.#configurations.map(({ acceptedAt }) => request.sentAt - acceptedAt);
    const oldest = Math.max(
      0,
      ages.findLastIndex((age) => age > BOUNDS.configuration),
    );
    if (!this.#configurations.slice(oldest).some(({ configuration }) => allows(configuration))) {
      this.#report(request, { change: 'configuration', age: ages[oldest] as number, isRun });
    }
  }

  #report({ daemon, route }: CheckedRequest, late: Pick<LateSend, 'change' | 'age' | 'isRun'>): void {
    if (this.isInTouch(daemon)) {
      this.lateSends.push({ ...late, route, daemon: daemon.name });
    }
  }
}

/** Whether a configuration has a route, to the given service if any. */
function hasRoute({ routes }: Configuration, name: string, service?: string): boolean {
  const route = routes.find((other) => other.name === name);
  return (
    route !== undefined &&
    (service === undefined || route.targets.some((target) => target.service === service))
  );
}
