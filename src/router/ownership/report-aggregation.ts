/** Aggregates at the leader the reports of what it and all daemons below it have observed. */
import { computeFleetLoad } from '../load-view/fleet-load.js';
import type { Milliseconds } from '../model/identifiers.js';
import { setDaemonCount } from '../request/request-dispatch.js';
import type { RouterContext } from '../router-context.js';
import { countDescendants } from '../tree/tree-state.js';
import { collectKeySamples, collectServerTimes, countPathlessDaemons } from '../tree/reports.js';
import { keyLoadOf } from './key-load.js';
import type { Leadership } from './leadership-state.js';
import { recordFormerLeaderEnded } from './server-lease.js';
import { ServiceTimeEstimator } from './service-time-estimator.js';

/** Interval between two aggregations of reports: a fifth of the interval between two plans. */
const REPORT_AGGREGATION_INTERVAL: Milliseconds = 100;

/**
 * Interval between two plans while owners are overloaded. In half of the cases, a move takes about half of
 * this time.
 */
const OVERLOAD_PLAN_INTERVAL: Milliseconds = 200;

function aggregateLoad(context: RouterContext, leadership: Leadership): void {
  for (const sample of collectKeySamples(context)) {
    keyLoadOf(leadership, sample.service).add(sample, context.now);
  }
  for (const times of collectServerTimes(context)) {
    let estimator = leadership.serviceTimeEstimators.get(times.server);
    if (estimator === undefined) {
      estimator = new ServiceTimeEstimator(context.now);
      leadership.serviceTimeEstimators.set(times.server, estimator);
    }
    estimator.add(times);
    const answeredAt = context.now - times.lastAnswerAge;
    if (times.requests > 0 && answeredAt > (leadership.answeredAt.get(times.server) ?? 0)) {
      leadership.answeredAt.set(times.server, answeredAt);
    }
  }
}

/** Records that the previous leader has ended, if its machine runs another incarnation of the daemon now. */
function detectFormerLeaderRestart(context: RouterContext, leadership: Leadership): void {
  const { tree } = context.state;
  const { former } = leadership;
  const { started } = tree;
  tree.started = [];
  if (started.some(({ daemon, life }) => daemon === former?.daemon && life !== former.life)) {
    recordFormerLeaderEnded(leadership, context.now);
  }
}

/** Aggregates the received reports when that is due. */
export function tickReportAggregation(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  if (now < leadership.nextReportAggregationAt) {
    return;
  }
  leadership.nextReportAggregationAt = now + REPORT_AGGREGATION_INTERVAL;
  aggregateLoad(context, leadership);
  detectFormerLeaderRestart(context, leadership);
  state.tree.rests.forEach((backOffReport) => leadership.rests.add(backOffReport, now));
  state.tree.rests = [];
  if (state.tree.overloaded) {
    state.tree.overloaded = false;
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, leadership.plannedAt + OVERLOAD_PLAN_INTERVAL);
  }
  state.pathlessDaemons = countPathlessDaemons(context);
  setDaemonCount(state, leadership.daemonCount.record(1 + countDescendants(state.tree, now), now));
  computeFleetLoad(context, leadership.startedAt);
}
