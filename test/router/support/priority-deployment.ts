/** One daemon in front of servers that two routes of different priority share. The servers work in virtual time and report their load. */
import type { ForwardEffect } from '../../../src/router/effects.js';
import type { AttemptResult } from '../../../src/router/events.js';
import type { Configuration, Route, Service } from '../../../src/router/model/configuration.js';
import { CONFIGURATION, describeServer, SingleDaemon } from './single-daemon.js';

const SERVICE = 'logs';
const SLOTS = 2;
const QUEUE_PLACES = 8;
const STEP = 5;
const TICK = 20;

const SHARED = { host: 'h.example', repeatable: true, targets: [{ service: SERVICE, weight: 1 }] };

/** The more urgent route; its priority is 0. */
export const URGENT: Route = {
  ...SHARED,
  name: 'urgent',
  pathPrefix: '/urgent/',
  timeout: 1_000,
  latencyObjective: 250,
  priority: 0,
  maxAttempts: 3,
};
/** The less urgent route. */
export const BULK: Route = {
  ...SHARED,
  name: 'bulk',
  pathPrefix: '/bulk/',
  timeout: 3_000,
  latencyObjective: 1_500,
  priority: 2,
  maxAttempts: 3,
};
/** Time of a request's work on a slot. */
const WORK_TIMES: ReadonlyMap<string, number> = new Map([
  ['urgent', 48],
  ['bulk', 300],
]);

interface Attempt {
  readonly effect: ForwardEffect;
  readonly route: string;
  endsAt: number | null;
}

function createConfiguration(): Configuration {
  const service = CONFIGURATION.services.get(SERVICE) as Service;
  return {
    ...CONFIGURATION,
    version: 2,
    routes: [URGENT, BULK],
    services: new Map([[SERVICE, { ...service, connectionLimit: 1_000 }]]),
  };
}

/** The answer that a caller got. */
export interface CallerAnswer {
  readonly requestId: number;
  readonly at: number;
  readonly status: number;
  readonly reason: string;
  readonly retryAfter: number | null;
}

export class PriorityDeployment {
  readonly daemon = new SingleDaemon();
  readonly answers: CallerAnswer[] = [];
  /** Server of each attempt in the order of sending, by request. */
  readonly sends: { readonly requestId: number; readonly at: number }[] = [];
  /** Whether servers with free slots reject every request. */
  rejectAll = false;
  readonly #answersById = new Map<number, CallerAnswer>();
  readonly #routes = new Map<number, string>();
  readonly #attempts = new Map<string, Attempt[]>();
  #nextRequest = 1;
  #seenEffects = 0;

  constructor(servers: number) {
    const ids = Array.from({ length: servers }, (_, index) => `s${index + 1}`);
    this.daemon.state.daemons = 1;
    this.daemon.event({ kind: 'configuration', configuration: createConfiguration(), revision: 6 });
    this.daemon.event({ kind: 'serversListed', servers: ids.map(describeServer), revision: 7 });
    ids.forEach((id) => this.#attempts.set(id, []));
    this.#takeEffects();
  }

  get now(): number {
    return this.daemon.now;
  }

  /** Sends a caller's request and returns its id. A request of the same name is the same request again. */
  send(route: Route, timeout = route.timeout, name: string | null = null): number {
    const requestId = this.#nextRequest;
    this.#nextRequest += 1;
    this.#routes.set(requestId, route.name);
    this.daemon.receiveRequest(requestId, `/${route.name}/${name ?? requestId}`, timeout);
    this.#takeEffects();
    return requestId;
  }

  /** Sends requests until at least so many are held. */
  sendUntilHeld(route: Route, count: number): number[] {
    const ids: number[] = [];
    while (this.heldCount < count) {
      ids.push(this.send(route));
    }
    return ids;
  }

  get heldCount(): number {
    return [...this.daemon.state.requests.values()].filter(({ server }) => server === null).length;
  }

  answerOf(requestId: number): CallerAnswer | undefined {
    return this.#answersById.get(requestId);
  }

  /** Lets a time pass; `eachStep` is called before the events of each step. */
  run(duration: number, eachStep: () => void = () => undefined): void {
    const end = this.now + duration;
    while (this.now < end) {
      eachStep();
      this.#endAttempts();
      if (this.now % TICK === 0) {
        this.daemon.event({ kind: 'tick' });
        this.#takeEffects();
      }
      this.daemon.now += STEP;
    }
  }

  #endAttempts(): void {
    for (const [server, attempts] of this.#attempts) {
      for (const attempt of attempts.filter(({ endsAt }) => endsAt !== null && endsAt <= this.now)) {
        attempts.splice(attempts.indexOf(attempt), 1);
        this.#startWork(server);
        this.#end(server, attempt, true);
      }
    }
  }

  #startWork(server: string): void {
    const attempts = this.#attempts.get(server) as Attempt[];
    for (const attempt of attempts.slice(0, SLOTS)) {
      attempt.endsAt ??= this.now + (WORK_TIMES.get(attempt.route) ?? 0);
    }
  }

  #end(server: string, { effect }: Attempt, isAnswered: boolean): void {
    const { length } = this.#attempts.get(server) as Attempt[];
    const running = Math.min(SLOTS, length);
    const load = { running, waiting: length - running, slots: SLOTS, slowdown: null };
    const result: AttemptResult = isAnswered
      ? { kind: 'answered', status: 200, load }
      : { kind: 'rejected', status: 503, misdirected: false, load, attribution: 'id' };
    if (isAnswered) {
      this.#recordAnswer(effect.requestId, 200, '', null);
    }
    this.daemon.ended(effect.requestId, effect.attempt, result);
    this.#takeEffects();
  }

  #recordAnswer(requestId: number, status: number, reason: string, retryAfter: number | null): void {
    const answer = { requestId, at: this.now, status, reason, retryAfter };
    this.answers.push(answer);
    this.#answersById.set(requestId, answer);
  }

  #takeEffects(): void {
    const { effects } = this.daemon;
    while (this.#seenEffects < effects.length) {
      const effect = effects[this.#seenEffects];
      this.#seenEffects += 1;
      if (effect?.kind === 'forward') {
        this.#forward(effect);
      } else if (effect?.kind === 'answer') {
        this.#recordAnswer(effect.requestId, effect.status, effect.reason, effect.retryAfter);
      } else if (effect?.kind === 'cancel') {
        this.#cancel(effect.requestId);
      }
    }
  }

  #forward(effect: ForwardEffect): void {
    const { server, requestId } = effect;
    const attempts = this.#attempts.get(server) as Attempt[];
    const attempt: Attempt = { effect, route: this.#routes.get(requestId) ?? '', endsAt: null };
    this.sends.push({ requestId, at: this.now });
    if (this.rejectAll || attempts.length >= SLOTS + QUEUE_PLACES) {
      this.#end(server, attempt, false);
      return;
    }
    attempts.push(attempt);
    this.#startWork(server);
  }

  #cancel(requestId: number): void {
    for (const [server, attempts] of this.#attempts) {
      const index = attempts.findIndex(({ effect }) => effect.requestId === requestId);
      if (index >= 0) {
        attempts.splice(index, 1);
        this.#startWork(server);
      }
    }
  }
}
