/** Messages with which the leader propagates the ownership table and the progress of carrying it out. */
import type { Ownership } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership } from './leadership-state.js';
import { unitName } from './ownership-table.js';
import { OwnershipView, type UnitView } from './ownership-view.js';

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

function buildOwnershipMessage(view: OwnershipView, base: number, units: readonly UnitView[]): Ownership {
  const sentUnits = units.map(({ service, from, to, owner, fence, granted }) => {
    return { service, from, to, owner, fence, granted };
  });
  return { kind: 'ownership', term: view.term, sequence: view.sequence, base, units: sentUnits };
}

/** Returns a message with all units of a view. */
export function fullOwnershipMessage(view: OwnershipView): Ownership {
  return buildOwnershipMessage(view, 0, view.units);
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
  const before = state.ownershipView.term === view.term ? state.ownershipView : null;
  const known = new Set(before?.units.map(unitViewKey));
  const changed = view.units.filter((unit) => !known.has(unitViewKey(unit)));
  state.ownershipView = view;
  const message = buildOwnershipMessage(view, before?.sequence ?? 0, changed);
  context.emit({ kind: 'sendToChildren', link: null, message });
}

/** Applies an ownership message from the parent, and forwards it to the children. */
export function receiveOwnership(context: RouterContext, message: Ownership): void {
  const { state } = context;
  const units = message.units.map((unit) => ({ ...unit, releasing: null }));
  const isChange = message.base !== 0;
  if (
    isChange &&
    (message.base !== state.ownershipView.sequence || message.term !== state.ownershipView.term)
  ) {
    // An earlier change was missed. The next report shows that to the parent, which then sends the whole
    // view.
    return;
  }
  const view = isChange
    ? state.ownershipView.changed(message.sequence, units)
    : new OwnershipView(message.term, message.sequence, units);
  if (!view.isNewerThan(state.ownershipView)) {
    return;
  }
  state.ownershipView = view;
  context.emit({ kind: 'sendToChildren', link: null, message });
  const granted = units.filter((unit) => unit.granted).length;
  context.log('ownership_heard', { term: view.term, sequence: view.sequence, units: units.length, granted });
}
