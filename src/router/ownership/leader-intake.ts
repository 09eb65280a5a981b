/** What the leader takes in of what it and all daemons below it have seen. */
import type { Milliseconds } from '../model/identifiers.js';
import { setDaemonCount } from '../request/request-dispatch.js';
import type { RouterContext } from '../router-context.js';
import { countDescendants } from '../tree/tree-state.js';
import { collectKeySamples, collectServerTimes } from '../tree/reports.js';
import { keyLoadOf } from './key-load.js';
import type { Leadership } from './leadership-state.js';
import { noteFormerEnded } from './server-lease.js';
import { ServerPace } from './server-pace.js';

/** Between two looks at what has come in: a fifth of the time between two plans. */
const INTAKE_INTERVAL: Milliseconds = 100;

/** Between two plans while owners have too much to do: a move takes about half of this, half of the time. */
const HASTENED_PLAN_INTERVAL: Milliseconds = 200;

function takeLoad(context: RouterContext, leadership: Leadership): void {
  for (const sample of collectKeySamples(context)) {
    keyLoadOf(leadership, sample.service).add(sample, context.now);
  }
  for (const seen of collectServerTimes(context)) {
    let pace = leadership.paces.get(seen.server);
    if (pace === undefined) {
      pace = new ServerPace(context.now);
      leadership.paces.set(seen.server, pace);
    }
    pace.add(seen);
  }
}

/** The machine of the leader before runs another process now: the one that led has ended. */
function noteStarted(context: RouterContext, leadership: Leadership): void {
  const { tree } = context.state;
  const { former } = leadership;
  const { started } = tree;
  tree.started = [];
  if (started.some(({ daemon, life }) => daemon === former?.daemon && life !== former.life)) {
    noteFormerEnded(leadership, context.now);
  }
}

/** Takes in what is due. */
export function tickIntake(context: RouterContext, leadership: Leadership): void {
  const { state, now } = context;
  if (now < leadership.nextIntakeAt) {
    return;
  }
  leadership.nextIntakeAt = now + INTAKE_INTERVAL;
  takeLoad(context, leadership);
  noteStarted(context, leadership);
  state.tree.rests.forEach((rest) => leadership.rests.add(rest, now));
  state.tree.rests = [];
  if (state.tree.overloaded) {
    state.tree.overloaded = false;
    leadership.nextPlanAt = Math.min(leadership.nextPlanAt, leadership.plannedAt + HASTENED_PLAN_INTERVAL);
  }
  setDaemonCount(state, leadership.daemonCount.note(1 + countDescendants(state.tree, now), now));
}
