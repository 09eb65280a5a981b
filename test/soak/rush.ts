/**
 * Two routes of different priority that share the servers of one balanced service. The less urgent route surges to twice what the servers can do.
 * Checks that the urgent route is served at least as often, and at least as often within its objective.
 */
import { SeededRandom } from '../../src/core/random.js';
import type { CallerConnections } from './caller-connections.js';
import type { DaemonProcess } from './daemon-process.js';
import { HOST, RUSH_ROUTES, type RushRoute } from './deployment.js';
import type { PromiseChecker } from './promise-checker.js';
import { now, pause } from './soak-clock.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Time between two surges, in which queues empty, and the length of a surge. */
const CALM_MILLISECONDS = 3_000;
const SURGE_MILLISECONDS = 4_000;
/** Requests that fill the servers' slots this many times: the urgent route alone, and the other one before and in a surge. */
const URGENT_DEMAND = 0.25;
const CALM_DEMAND = 0.3;
const SURGE_DEMAND = 2;
const STEP_MILLISECONDS = 10;
const MAX_CONNECTIONS = 300;
/** Requests at a daemon are not compared for this long after its last fault, since a pause makes the route with the shorter objective late. */
const UNDISTURBED_MILLISECONDS = 3_000;
/** Standard deviations by which the rates of two equally treated routes differ in one of a thousand comparisons, to one side. */
const TOLERATED_DEVIATIONS = 3.1;

/** Daemons and servers of the run. */
export interface RushEnvironment {
  readonly connections: CallerConnections;
  readonly daemons: readonly DaemonProcess[];
  /** Number of slots of all servers of the service. */
  readonly slots: number;
}

/** Compared requests of one route. */
interface Tally {
  requests: number;
  served: number;
  inTime: number;
}

/** Returns by how much two observed rates may differ by chance when the true ones are equal. */
export function tolerance(left: number, leftCount: number, right: number, rightCount: number): number {
  const pooled = (left * leftCount + right * rightCount) / (leftCount + rightCount);
  const variance = pooled * (1 - pooled) * (1 / leftCount + 1 / rightCount);
  const granularity = (1 / leftCount + 1 / rightCount) / 2;
  return TOLERATED_DEVIATIONS * Math.sqrt(variance) + granularity;
}

export class Rush {
  readonly #random: SeededRandom;
  readonly #promises: PromiseChecker;
  readonly #environment: RushEnvironment;
  readonly #tallies = new Map<RushRoute, Tally>(
    RUSH_ROUTES.map((route) => [route, { requests: 0, served: 0, inTime: 0 }]),
  );
  readonly #pending: Promise<void>[] = [];
  /** Fractions of a request that are due, by route. */
  readonly #due = new Map<RushRoute, number>();
  #nextAttempt = 1;

  constructor(seed: number, promises: PromiseChecker, environment: RushEnvironment) {
    this.#random = new SeededRandom(seed);
    this.#promises = promises;
    this.#environment = environment;
  }

  /** Sends requests for `length` milliseconds, in surges with calm times before each, and compares the routes. */
  async run(length: number): Promise<void> {
    const startedAt = now();
    let steppedAt = startedAt;
    while (now() - startedAt < length) {
      await pause(STEP_MILLISECONDS);
      const time = now();
      const isSurge = (time - startedAt) % (CALM_MILLISECONDS + SURGE_MILLISECONDS) >= CALM_MILLISECONDS;
      const [urgent, other] = RUSH_ROUTES;
      this.#send(urgent, URGENT_DEMAND, time - steppedAt, isSurge);
      this.#send(other, isSurge ? SURGE_DEMAND : CALM_DEMAND, time - steppedAt, isSurge);
      steppedAt = time;
    }
    await Promise.all(this.#pending);
    this.#compare();
  }

  /** Counts of both routes, for the report. */
  get summary(): string {
    return [...this.#tallies]
      .map(
        ([{ name }, { requests, served, inTime }]) =>
          `${name}: ${requests} compared, ${served} served, ${inTime} in time`,
      )
      .join('; ');
  }

  /** Sends the requests of a route that are due after a time, given the demand as a multiple of all slots. */
  #send(route: RushRoute, demand: number, elapsed: number, isSurge: boolean): void {
    const perMillisecond = (demand * this.#environment.slots) / route.workMilliseconds;
    let due = (this.#due.get(route) ?? 0) + perMillisecond * elapsed;
    for (; due >= 1; due -= 1) {
      this.#pending.push(this.#call(route, isSurge));
    }
    this.#due.set(route, due);
  }

  async #call(route: RushRoute, isSurge: boolean): Promise<void> {
    const { daemons, connections } = this.#environment;
    const daemon = daemons[Math.floor(this.#random.fraction() * daemons.length)] as DaemonProcess;
    const attemptId = `${daemon.name}-rush-${this.#nextAttempt}`;
    this.#nextAttempt += 1;
    const [host = '', port = ''] = daemon.ports.http.split(':');
    const timeoutMilliseconds = route.timeoutS * MILLISECONDS_PER_SECOND;
    const { sentAt, endedAt, status } = await connections.send({
      attemptId,
      host,
      port,
      path: `/${route.name}/`,
      method: 'GET',
      headers: {
        host: HOST,
        'fennelferry-attempt-id': attemptId,
        'fennelferry-deadline-ms': String(timeoutMilliseconds),
      },
      body: null,
      pool: `rush ${daemon.name}`,
      maxConnections: MAX_CONNECTIONS,
      localAddress: null,
      timeoutMilliseconds,
      disconnect: null,
    });
    const tally = this.#tallies.get(route);
    if (tally !== undefined && isSurge && this.#wasUndisturbed(daemon, sentAt)) {
      const isServed = status === 200;
      const isInTime = endedAt - sentAt <= route.targetLatencyS * MILLISECONDS_PER_SECOND;
      tally.requests += 1;
      tally.served += isServed ? 1 : 0;
      tally.inTime += isServed && isInTime ? 1 : 0;
    }
  }

  #wasUndisturbed(daemon: DaemonProcess, from: number): boolean {
    const { isScheduled, isPaused, stopping, isRunning, lastFaultAt, heartbeats } = daemon;
    const disturbedAt = Math.max(lastFaultAt, heartbeats.runsSince);
    const isRunningNow = isRunning && isScheduled && !isPaused && !stopping;
    return isRunningNow && disturbedAt + UNDISTURBED_MILLISECONDS <= from;
  }

  #compare(): void {
    const [urgent, other] = RUSH_ROUTES.map((route) => this.#tallies.get(route) as Tally) as [Tally, Tally];
    if (urgent.requests === 0 || other.requests === 0) {
      return;
    }
    this.#compareRates('is served at least as often', urgent, other, ({ served }) => served);
    this.#compareRates('is served in time at least as often', urgent, other, ({ inTime }) => inTime);
  }

  #compareRates(promise: string, urgent: Tally, other: Tally, count: (tally: Tally) => number): void {
    const rate = count(urgent) / urgent.requests;
    const otherRate = count(other) / other.requests;
    const tolerated = tolerance(rate, urgent.requests, otherRate, other.requests);
    if (rate < otherRate - tolerated) {
      const rates = `${rate.toFixed(3)} of ${urgent.requests}, ${otherRate.toFixed(3)} of ${other.requests}`;
      this.#promises.fail(`the urgent route ${promise}`, `${rates}, tolerated ${tolerated.toFixed(3)}`);
    }
  }
}
