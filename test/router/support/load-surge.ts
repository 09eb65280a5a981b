/** Simulates two routes of different priority that share a balanced service whose servers report their load, and a surge of one route. */
import type { Effect, ForwardEffect } from '../../../src/router/effects.js';
import type { AttemptResult } from '../../../src/router/events.js';
import type { Configuration, Route } from '../../../src/router/model/configuration.js';
import { loadViewOf } from '../../../src/router/load-view/load-view-of.js';
import type { ServiceLoadView } from '../../../src/router/load-view/load-view.js';
import type { ReportedLoad } from '../../../src/router/request/server-load.js';
import { fingerprintOf } from './fingerprints.js';
import {
  type RequestEffectHandler,
  RouterSimulation,
  type SimulatedDaemon,
  CONFIGURATION as KEYED_CONFIGURATION,
  SERVICE as KEYED_SERVICE,
} from './router-simulation.js';

export const SHARED_SERVICE = 'logs';
export const URGENT = 0;
export const BULK = 2;

const NETWORK_DELAY = 1;
const SLOTS = 2;
/** A server rejects requests beyond this number of waiting ones. */
const QUEUE_PLACES = 8;
const KEYED_SERVERS = 4;
/** The zones of the servers. Daemons prefer servers of their own zone. */
const ZONES = ['z0', 'z1', 'z2'];
/** Work times in milliseconds. */
export const WORK_TIMES: Readonly<Record<number, number>> = { [URGENT]: 48, [BULK]: 300 };
/** Shares of the slots that the routes keep busy before the surge. */
const USUAL_SHARES: Readonly<Record<number, number>> = { [URGENT]: 0.2, [BULK]: 0.3 };

function routeOf(name: string, priority: number, latencyObjective: number, timeout: number): Route {
  const [route] = KEYED_CONFIGURATION.routes;
  return {
    ...(route as Route),
    name,
    pathPrefix: `/${name}/`,
    priority,
    latencyObjective,
    timeout,
    targets: [{ service: SHARED_SERVICE, weight: 1 }],
  };
}

const CONFIGURATION: Configuration = {
  ...KEYED_CONFIGURATION,
  version: 2,
  routes: [routeOf('urgent', URGENT, 250, 1_000), routeOf('bulk', BULK, 1_500, 3_000)],
  services: new Map([
    ...KEYED_CONFIGURATION.services,
    [
      SHARED_SERVICE,
      {
        ...(KEYED_CONFIGURATION.services.get(KEYED_SERVICE) as NonNullable<unknown>),
        name: SHARED_SERVICE,
        keyed: false,
        connectionLimit: 200,
        healthPath: '/health',
        coldTime: 0,
        coldRequestRate: 0,
      },
    ],
  ]),
};

interface ServerQueue {
  running: number;
  readonly waiting: (() => void)[];
}

function loadOf({ running, waiting }: ServerQueue): ReportedLoad {
  return { running, waiting: waiting.length, slots: SLOTS, slowdown: null };
}

/** Servers that work through their requests in order and report their load. */
export class LoadSurge implements RequestEffectHandler {
  readonly simulation: RouterSimulation;
  /** Demand of each priority as a multiple of the usual one. */
  readonly factors: Record<number, number> = { [URGENT]: 1, [BULK]: 1 };
  readonly #queues = new Map<string, ServerQueue>();
  readonly #servers: number;
  #nextRequest = 1;

  constructor(seed: number, daemons: number, servers = daemons) {
    this.#servers = servers;
    this.simulation = new RouterSimulation(seed, daemons, KEYED_SERVERS, ZONES);
    this.simulation.requests = this;
    this.simulation.configure(CONFIGURATION);
    for (let index = 0; index < servers; index += 1) {
      this.simulation.addServer(`10.0.3.${index}:80`, SHARED_SERVICE);
    }
    [URGENT, BULK].forEach((priority) => this.#scheduleNext(priority));
  }

  get slots(): number {
    return this.#servers * SLOTS;
  }

  /** Returns the demand of a priority in slots. */
  demand(priority: number): number {
    return this.slots * (USUAL_SHARES[priority] ?? 0) * (this.factors[priority] ?? 1);
  }

  /** Returns the mean work time of a priority that a daemon has measured, as a multiple of the true one. */
  workTimeRatio({ state }: SimulatedDaemon, priority: number): number {
    const measured = state.loadView.workTimes.meanOf(SHARED_SERVICE, priority) ?? Number.NaN;
    return measured / (WORK_TIMES[priority] ?? Number.NaN);
  }

  /** Returns the rate of requests that a daemon's view implies by the work time that it has measured, as a multiple of the true rate. */
  rateRatio(daemon: SimulatedDaemon, priority: number): number {
    const slots = this.viewAt(daemon).demandSlots(priority);
    return slots / this.workTimeRatio(daemon, priority) / this.demand(priority);
  }

  /** Returns a daemon's view of the service. */
  viewAt(daemon: SimulatedDaemon): ServiceLoadView {
    return loadViewOf(daemon.state, SHARED_SERVICE, daemon.clock.now());
  }

  /** Returns the daemons that are running. */
  running(): SimulatedDaemon[] {
    return this.simulation.daemons.filter(({ alive }) => alive);
  }

  /** Requests arrive at random times, at random daemons. */
  #scheduleNext(priority: number): void {
    const { clock, random } = this.simulation;
    const interval = (WORK_TIMES[priority] ?? 0) / this.demand(priority);
    clock.schedule(-Math.log(1 - random.fraction()) * interval, () => {
      const running = this.running();
      const daemon = running[random.integerBelow(running.length)];
      if (daemon !== undefined) {
        this.#send(daemon, priority);
      }
      this.#scheduleNext(priority);
    });
  }

  #send(daemon: SimulatedDaemon, priority: number): void {
    const requestId = this.#nextRequest;
    this.#nextRequest += 1;
    const target = `/${priority === URGENT ? 'urgent' : 'bulk'}/${requestId}`;
    this.simulation.deliver(daemon, {
      kind: 'requestArrived',
      requestId,
      attemptId: `a-${requestId}`,
      method: 'GET',
      host: 'h.example',
      target,
      callerTimeout: null,
      key: null,
      fingerprint: fingerprintOf(target),
      readDelay: 0,
      origin: null,
    });
  }

  perform(daemon: SimulatedDaemon, effect: Effect): void {
    if (effect.kind === 'forward') {
      const priority = daemon.state.requests.get(effect.requestId)?.route.priority ?? URGENT;
      this.simulation.clock.schedule(NETWORK_DELAY, () => this.#arrive(daemon, effect, priority));
    }
  }

  #arrive(daemon: SimulatedDaemon, effect: ForwardEffect, priority: number): void {
    const queue = this.#queues.get(effect.server) ?? { running: 0, waiting: [] };
    this.#queues.set(effect.server, queue);
    const start = (): void => {
      queue.running += 1;
      this.simulation.clock.schedule(WORK_TIMES[priority] ?? 0, () => this.#finish(daemon, effect, queue));
    };
    if (queue.running < SLOTS) {
      start();
    } else if (queue.waiting.length < QUEUE_PLACES) {
      queue.waiting.push(start);
    } else {
      this.#end(daemon, effect, {
        kind: 'rejected',
        status: 503,
        misdirected: false,
        load: loadOf(queue),
        attribution: 'id',
      });
    }
  }

  #finish(daemon: SimulatedDaemon, effect: ForwardEffect, queue: ServerQueue): void {
    queue.running -= 1;
    queue.waiting.shift()?.();
    this.#end(daemon, effect, { kind: 'answered', status: 200, load: loadOf(queue) });
  }

  #end(daemon: SimulatedDaemon, { requestId, attempt }: ForwardEffect, result: AttemptResult): void {
    this.simulation.clock.schedule(NETWORK_DELAY, () =>
      this.simulation.deliver(daemon, { kind: 'attemptEnded', requestId, attempt, result }),
    );
  }
}
