/** Messages with which the leader propagates the ownership table and the progress of carrying it out. */
import type { Ownership, Report } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { RouterState } from '../router-state.js';
import type { Leadership } from './leadership-state.js';
import { unitName } from './ownership-table.js';
import { EMPTY_VIEW, OwnershipView, type UnitView } from './ownership-view.js';

/** Limit on the view updates within one revision of the table. */
const MAX_STEPS_PER_REVISION = 10_000;

/** Returns the sequence of the view at a revision of the table, after a number of updates of its progress. */
export function viewSequence(revision: number, step: number): number {
  return revision + Math.min(step, MAX_STEPS_PER_REVISION - 1) / MAX_STEPS_PER_REVISION;
}

function currentView(leadership: Leadership): OwnershipView {
  const units: UnitView[] = leadership.table.units.map((unit) => ({
    ...unit,
    granted: leadership.unitProgress.get(unitName(unit))?.phase === 'held',
  }));
  const sequence = viewSequence(leadership.tableRevision, leadership.viewStep);
  return new OwnershipView(leadership.term, sequence, units);
}

function buildOwnershipMessage(
  view: OwnershipView,
  base: OwnershipView,
  units: readonly UnitView[],
): Ownership {
  const sentUnits = units.map(({ service, from, to, owner, fence, granted }) => {
    return { service, from, to, owner, fence, granted };
  });
  const { term, sequence } = view;
  return { kind: 'ownership', term, sequence, base: base.sequence, baseTerm: base.term, units: sentUnits };
}

/** The message with all units of a view. Many children of a new leader may need it, and it is encoded only once. */
const fullMessages = new WeakMap<OwnershipView, Ownership>();
/** The message with the units by which a view differs from the last one of the former leader. */
const takeoverMessages = new WeakMap<OwnershipView, Ownership>();

function fullOwnershipMessage(view: OwnershipView): Ownership {
  const message = fullMessages.get(view) ?? buildOwnershipMessage(view, EMPTY_VIEW, view.units);
  fullMessages.set(view, message);
  return message;
}

function takeoverMessage(view: OwnershipView, former: OwnershipView): Ownership {
  const message = takeoverMessages.get(view) ?? changeMessage(view, former);
  takeoverMessages.set(view, message);
  return message;
}

/** Returns a message with the units by which a view differs from an earlier one. */
function changeMessage(view: OwnershipView, before: OwnershipView): Ownership {
  const known = new Set(before.units.map(unitViewKey));
  const changed = view.units.filter((unit) => !known.has(unitViewKey(unit)));
  return buildOwnershipMessage(view, before, changed);
}

/**
 * Returns the ownership message for a child that reported a view other than the current one: what has changed since the last view of the
 * former leader if the child still has that one, otherwise all units.
 */
export function missedOwnershipMessage(
  { ownershipView, formerOwnershipView }: RouterState,
  { viewTerm, viewSequence: sequence }: Report,
): Ownership {
  const hasFormerView = viewTerm > 0 && formerOwnershipView.is(viewTerm, sequence);
  return hasFormerView
    ? takeoverMessage(ownershipView, formerOwnershipView)
    : fullOwnershipMessage(ownershipView);
}

function replaceView(state: RouterState, view: OwnershipView): void {
  if (view.term !== state.ownershipView.term) {
    state.formerOwnershipView = state.ownershipView;
  }
  state.ownershipView = view;
}

function unitViewKey(unit: UnitView): string {
  return `${unitName(unit)} ${unit.owner} ${unit.fence} ${unit.granted}`;
}

/** Sends the units whose ownership changed to every child. */
export function broadcastView(context: RouterContext, leadership: Leadership): void {
  const { state } = context;
  leadership.viewChanged = false;
  leadership.viewStep += 1;
  const view = currentView(leadership);
  const message = changeMessage(view, state.ownershipView);
  replaceView(state, view);
  context.emit({ kind: 'sendToChildren', link: null, message });
}

/** Applies an ownership message from the parent, and forwards it to the children. */
export function receiveOwnership(context: RouterContext, message: Ownership): void {
  const { state } = context;
  const units = message.units.map((unit) => ({ ...unit, releasing: null }));
  const isChange = message.base !== 0;
  const baseTerm = message.baseTerm === 0 ? message.term : message.baseTerm;
  if (isChange && !state.ownershipView.is(baseTerm, message.base)) {
    // An earlier change was missed. The next report shows that to the parent, which then sends the whole
    // view.
    return;
  }
  const view = isChange
    ? state.ownershipView.changed(message.term, message.sequence, units)
    : new OwnershipView(message.term, message.sequence, units);
  if (!view.isNewerThan(state.ownershipView)) {
    return;
  }
  replaceView(state, view);
  context.emit({ kind: 'sendToChildren', link: null, message });
  const granted = units.filter((unit) => unit.granted).length;
  context.log('ownership_heard', { term: view.term, sequence: view.sequence, units: units.length, granted });
}
