/** Aggregates at the leader the reports of what it and all daemons below it have observed. */
import type { Milliseconds } from '../model/identifiers.js';
import { setDaemons } from '../request/request-dispatch.js';
import type { RouterContext } from '../router-context.js';
import { daemonsBelow } from '../tree/tree-state.js';
import { takeKeySamples, takeTimes } from '../tree/reports.js';
import { keyLoadOf } from './key-load.js';
import type { Leadership } from './leadership-state.js';
import { noteFormerEnded } from './server-lease.js';
import { ServerPace } from './server-pace.js';

/** Interval between two aggregations of reports: a fifth of the interval between two plans. */
const INTAKE_INTERVAL: Milliseconds = 100;

/**
 * Interval between two plans while owners are overloaded. In half of the cases, a move takes about half of
 * this time.
 */
const HASTENED_PLAN_INTERVAL: Milliseconds = 200;

function aggregateLoad(context: RouterContext, leadership: Leadership): void {
  for (const sample of takeKeySamples(context)) {
    keyLoadOf(leadership, sample.service).add(sample, context.now);
  }
  for (const times of takeTimes(context)) {
    let estimator = leadership.paces.get(times.server);
    if (estimator === undefined) {
      estimator = new ServerPace(context.now);
      leadership.paces.set(times.server, estimator);
    }
    estimator.add(times);
  }
}

/** Records that the previous leader has ended, if its machine runs another incarnation of the daemon now. */
function detectFormerLeaderRestart(context: RouterContext, leadership: Leadership): void {
  const { tree } = context.state;
  const { former } = leadership;
  const { started } = tree;
  tree.started = [];
  if (started.some(({ daemon, life }) => daemon === former?.daemon && life !== former.life)) {
    noteFormerEnded(leadership, context.now);
  }
}

/** Aggregates the received reports when that is due. */
export function tickIntake(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  if (now < leadership.nextIntakeAt) {
    return;
  }
  leadership.nextIntakeAt = now + INTAKE_INTERVAL;
  aggregateLoad(context, leadership);
  detectFormerLeaderRestart(context, leadership);
  state.tree.rests.forEach((rest) => leadership.rests.add(rest, now));
  state.tree.rests = [];
  if (state.tree.overloaded) {
    state.tree.overloaded = false;
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, leadership.plannedAt + HASTENED_PLAN_INTERVAL);
  }
  setDaemons(state, leadership.daemonCount.note(1 + daemonsBelow(state.tree, now), now));
}
