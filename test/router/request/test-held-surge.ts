/** Guards the service of callers in a surge: order, refusals, retry times and the work of the daemon. */
import { expect } from 'earl';
import { describe, it } from 'node:test';
import type { Route } from '../../../src/router/model/configuration.js';
import { MAX_HELD_REQUESTS } from '../../../src/router/request/held-requests.js';
import { BULK, PriorityDeployment, URGENT } from '../support/priority-deployment.js';
import { simulateRetryingCallers } from '../support/retrying-callers.js';

/** Counts how often the daemon looks for a server, at a deployment with one server. */
function countTries({ daemon }: PriorityDeployment): () => number {
  const [known] = daemon.state.servers.values();
  const backOff = known?.backOff;
  let tries = 0;
  const original = backOff?.allowsRequest.bind(backOff);
  Object.assign(backOff ?? {}, {
    allowsRequest: (inFlight: number, now: number): boolean => {
      tries += 1;
      return original?.(inFlight, now) ?? false;
    },
  });
  return () => tries;
}

/** Steady callers of a route, each of which sends one request every `interval`. Returns the ids of their requests. */
class SteadyCallers {
  readonly ids: number[] = [];
  readonly #deployment: PriorityDeployment;
  readonly #route: Route;
  readonly #interval: number;
  #nextAt: number;

  constructor(deployment: PriorityDeployment, route: Route, interval: number) {
    this.#deployment = deployment;
    this.#route = route;
    this.#interval = interval;
    this.#nextAt = deployment.now;
  }

  step(): void {
    for (; this.#nextAt <= this.#deployment.now; this.#nextAt += this.#interval) {
      this.ids.push(this.#deployment.send(this.#route));
    }
  }

  servedShare(): number {
    const answers = this.ids
      .map((id) => this.#deployment.answerOf(id))
      .filter((answer) => answer !== undefined);
    return answers.filter(({ status }) => status === 200).length / answers.length;
  }
}

describe('requests held in a surge', () => {
  it('are sent in the order of arrival when they are of one route', () => {
    const deployment = new PriorityDeployment(1);
    const ids = deployment.sendUntilHeld(BULK, 10);
    deployment.run(2_500);
    const sent = deployment.sends.map(({ requestId }) => requestId);
    expect(sent).toEqual([...sent].sort((first, second) => first - second));
    expect(sent.length).toBeGreaterThan(ids.length - 10);
  });

  // By its longer objective a bulk request still has room where an urgent one has none, and would make the urgent one wait longer.
  it('do not take the room for which a more urgent request waits', () => {
    const deployment = new PriorityDeployment(1);
    const held = deployment.sendUntilHeld(URGENT, 1).at(-1);
    const before = deployment.sends.length;
    const bulk = Array.from({ length: 10 }, () => deployment.send(BULK));
    deployment.run(45);
    expect(deployment.sends.length).toEqual(before);
    deployment.run(600);
    const sent = deployment.sends.slice(before).map(({ requestId }) => requestId);
    expect(sent[0]).toEqual(held as number);
    expect(sent.some((id) => bulk.includes(id))).toEqual(true);
  });

  it('let an urgent request pass that arrives behind them', () => {
    const deployment = new PriorityDeployment(1);
    const bulk = deployment.sendUntilHeld(BULK, 20);
    deployment.run(250);
    const before = deployment.sends.length;
    const urgent = deployment.send(URGENT);
    expect(deployment.sends.length).toEqual(before);
    deployment.run(50);
    const sent = deployment.sends.slice(before).map(({ requestId }) => requestId);
    expect(sent.some((id) => bulk.includes(id))).toEqual(false);
    expect(deployment.answerOf(urgent)).toEqual(undefined);
  });

  // Held bulk requests took each free place before the urgent ones, which came later.
  it('leave the capacity to urgent requests that arrive behind them, and are still served themselves', () => {
    const deployment = new PriorityDeployment(4);
    const urgent = new SteadyCallers(deployment, URGENT, 25);
    const bulk = new SteadyCallers(deployment, BULK, 20);
    deployment.run(8_000, () => {
      bulk.step();
      urgent.step();
    });
    expect(urgent.servedShare()).toBeGreaterThan(bulk.servedShare());
    expect(bulk.servedShare()).toBeGreaterThan(0.1);
  });

  it('are displaced by urgent ones when too many are held, and refused at once with a retry time', () => {
    const deployment = new PriorityDeployment(1);
    const ids = deployment.sendUntilHeld(BULK, MAX_HELD_REQUESTS);
    expect(deployment.answers).toEqual([]);
    const urgent = deployment.send(URGENT);
    expect(deployment.answerOf(urgent)).toEqual(undefined);
    const { counters } = deployment.daemon.state;
    expect([counters.held_displaced, counters.refused_behind_more_urgent]).toEqual([1, 1]);
    const displaced = deployment.answerOf(ids.at(-1) as number);
    expect(displaced?.status).toEqual(503);
    expect(displaced?.retryAfter ?? 0).toBeGreaterThanOrEqual(100);
  });

  it('are refused at once when too many are held and none is less urgent', () => {
    const deployment = new PriorityDeployment(1);
    deployment.sendUntilHeld(BULK, MAX_HELD_REQUESTS);
    const id = deployment.send(BULK);
    expect(deployment.answerOf(id)?.status).toEqual(503);
    expect(deployment.heldCount).toEqual(MAX_HELD_REQUESTS);
    expect(deployment.daemon.state.counters.held_displaced).toEqual(0);
  });

  it('are refused when their hold time ends, not later', () => {
    const deployment = new PriorityDeployment(1);
    const ids = deployment.sendUntilHeld(BULK, 30);
    const start = deployment.now;
    deployment.run(1_000);
    const refused = deployment.answers.filter(({ status }) => status === 503);
    expect(refused.length).toBeGreaterThan(15);
    for (const { requestId, at, retryAfter } of refused) {
      expect(ids.includes(requestId)).toEqual(true);
      expect(at - start).toBeLessThanOrEqual(BULK.latencyObjective * 0.22 + 20);
      expect(retryAfter ?? 0).toBeGreaterThanOrEqual(100);
    }
  });

  // Each of them was tried every 15 ms, which a daemon with a fifth of a core can't do.
  it('cost few tries, however many they are', () => {
    const deployment = new PriorityDeployment(1);
    const tries = countTries(deployment);
    for (let count = 0; count < 200; count += 1) {
      deployment.send(count % 2 === 0 ? BULK : URGENT);
    }
    const atArrival = tries();
    // Those that were sent, and for each route one that found no room, with the second check of a chosen server.
    expect(atArrival).toBeLessThanOrEqual(2 * deployment.sends.length + 4);
    const sendsBefore = deployment.sends.length;
    deployment.run(200);
    const rounds = 200 / 20 + 200 / 5;
    const sendsSince = deployment.sends.length - sendsBefore;
    expect(tries() - atArrival).toBeLessThanOrEqual(3 * rounds + 2 * sendsSince);
  });

  it('are counted and logged at most once a second when they are refused for more urgent ones', () => {
    const deployment = new PriorityDeployment(1);
    const urgent = new SteadyCallers(deployment, URGENT, 5);
    const bulk = new SteadyCallers(deployment, BULK, 10);
    deployment.run(2_900, () => {
      urgent.step();
      bulk.step();
    });
    const lines = deployment.daemon.effectsOfKind('log').filter(({ event }) => event === 'load_shed');
    expect(lines.length).toBeGreaterThanOrEqual(2);
    expect(lines.length).toBeLessThanOrEqual(3);
    expect(lines[0]?.fields['service']).toEqual('logs');
    expect(lines[0]?.fields['for_priority']).toEqual(0);
    expect(deployment.daemon.state.counters.refused_behind_more_urgent).toBeGreaterThan(10);
  });

  it('are not said to be refused for others when there is one priority only', () => {
    const deployment = new PriorityDeployment(1);
    const bulk = new SteadyCallers(deployment, BULK, 5);
    deployment.run(2_000, () => {
      bulk.step();
    });
    expect(deployment.daemon.state.counters.refused_behind_more_urgent).toEqual(0);
    expect(deployment.daemon.effectsOfKind('log').some(({ event }) => event === 'load_shed')).toEqual(false);
  });
});

describe('refused callers', () => {
  // Such callers were always among the held requests, and got 7.4 requests through where others got 1.3.
  it('get no more than others when they return at once and often', () => {
    for (const [servers, callers, impatient] of [
      [2, 60, 30],
      [2, 60, 5],
      [4, 100, 10],
    ] as const) {
      const [served, servedOthers] = simulateRetryingCallers(servers, callers, impatient);
      expect(served).toBeLessThanOrEqual(servedOthers * 1.05);
    }
  });

  it('return spread out', () => {
    const deployment = new PriorityDeployment(1);
    deployment.sendUntilHeld(BULK, 60);
    deployment.run(400);
    const returns = deployment.answers
      .filter(({ status }) => status === 503)
      .map(({ at, retryAfter }) => at + (retryAfter ?? 0))
      .sort((first, second) => first - second);
    expect(returns.length).toBeGreaterThan(30);
    const most = Math.max(
      ...returns.map((from) => returns.filter((at) => at >= from && at < from + 50).length),
    );
    expect(most).toBeLessThan(returns.length / 3);
  });

  it('find room when they return, once the load falls as estimated', () => {
    const deployment = new PriorityDeployment(2);
    deployment.sendUntilHeld(URGENT, 4);
    const returns: number[] = [];
    const returned: number[] = [];
    let seen = 0;
    deployment.run(1_500, () => {
      for (; seen < deployment.answers.length; seen += 1) {
        const { at, status, retryAfter } = deployment.answers[seen] as (typeof deployment.answers)[number];
        if (status === 503 && retryAfter !== null) {
          returns.push(at + retryAfter);
        }
      }
      for (const at of returns.filter((time) => time <= deployment.now)) {
        returns.splice(returns.indexOf(at), 1);
        returned.push(deployment.send(URGENT));
      }
    });
    expect(returned.length).toBeGreaterThanOrEqual(2);
    expect(returned.map((id) => deployment.answerOf(id)?.status).every((status) => status === 200)).toEqual(
      true,
    );
  });

  it('get a time that they honour when the retry budget is spent', () => {
    const deployment = new PriorityDeployment(3);
    deployment.send(BULK);
    deployment.run(1_000);
    const budget = deployment.daemon.state.retryBudgets.get('logs');
    while (budget?.tryTake() === true) {
      // Spends the whole budget, as other requests would.
    }
    deployment.rejectAll = true;
    // Each request adds a sixth of a retry to the budget.
    const all = Array.from({ length: 20 }, () => {
      deployment.run(60);
      return deployment.answerOf(deployment.send(BULK));
    });
    const answers = all.filter((answer) => answer?.reason === 'the retry budget is spent');
    expect(answers.length).toBeGreaterThan(12);
    const times = answers.map((answer) => answer?.retryAfter ?? 0);
    expect(Math.min(...times)).toBeGreaterThanOrEqual(100);
    expect(Math.max(...times)).toBeLessThanOrEqual(1_000);
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(100);
  });
});

describe('a request that servers with free slots reject', () => {
  // A third attempt spent the retry budget of requests that other servers would have taken.
  it('is sent to two of them and refused with a retry time, and was not run', () => {
    const deployment = new PriorityDeployment(4);
    deployment.rejectAll = true;
    const id = deployment.send(BULK);
    expect(deployment.sends.length).toEqual(2);
    expect(deployment.answerOf(id)?.status).toEqual(503);
    expect(deployment.answerOf(id)?.retryAfter ?? 0).toBeGreaterThanOrEqual(100);
  });
});
