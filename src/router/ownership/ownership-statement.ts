/** Statements of ownership: what the leader tells of the table and of how far it is carried out. */
import type { Ownership } from '../peers/messages.js';
import type { RouterContext } from '../router-context.js';
import type { Leadership } from './leadership-state.js';
import { unitName } from './ownership-table.js';
import { OwnershipView, type UnitView } from './ownership-view.js';

/** Steps of the view within one revision of the table. */
const STEPS_PER_REVISION = 10_000;

/** The view of the table at a revision, after some steps of carrying it out. */
export function viewSequence(revision: number, step: number): number {
  return revision + Math.min(step, STEPS_PER_REVISION - 1) / STEPS_PER_REVISION;
}

function currentView(leadership: Leadership): OwnershipView {
  const units: UnitView[] = leadership.table.units.map((unit) => ({
    ...unit,
    granted: leadership.progress.get(unitName(unit))?.phase === 'held',
  }));
  const sequence = viewSequence(leadership.tableRevision, leadership.viewStep);
  return new OwnershipView(leadership.term, sequence, units);
}

function statement(view: OwnershipView, base: number, units: readonly UnitView[]): Ownership {
  const stated = units.map(({ service, from, to, owner, fence, granted }) => {
    return { service, from, to, owner, fence, granted };
  });
  return { kind: 'ownership', term: view.term, sequence: view.sequence, base, units: stated };
}

/** All that a view says. */
export function wholeStatement(view: OwnershipView): Ownership {
  return statement(view, 0, view.units);
}

function viewKey(unit: UnitView): string {
  return `${unitName(unit)} ${unit.owner} ${unit.fence} ${unit.granted}`;
}

/** Tells every child what has changed in who owns what. */
export function broadcastView(context: RouterContext, leadership: Leadership): void {
  const { state } = context;
  leadership.viewChanged = false;
  leadership.viewStep += 1;
  const view = currentView(leadership);
  const before = state.view.term === view.term ? state.view : null;
  const known = new Set(before?.units.map(viewKey));
  const changed = view.units.filter((unit) => !known.has(viewKey(unit)));
  state.view = view;
  const message = statement(view, before?.sequence ?? 0, changed);
  context.emit({ kind: 'sendToChildren', link: null, message });
}

/** Takes in a statement of the leader, and passes it on. */
export function receiveOwnership(context: RouterContext, message: Ownership): void {
  const { state } = context;
  const units = message.units.map((unit) => ({ ...unit, releasing: null }));
  const isChange = message.base !== 0;
  if (isChange && (message.base !== state.view.sequence || message.term !== state.view.term)) {
    // A change before it was missed: the next report says so to the parent.
    return;
  }
  const view = isChange
    ? state.view.changed(message.sequence, units)
    : new OwnershipView(message.term, message.sequence, units);
  if (!view.isNewerThan(state.view)) {
    return;
  }
  state.view = view;
  context.emit({ kind: 'sendToChildren', link: null, message });
  const granted = units.filter((unit) => unit.granted).length;
  context.log('ownership_heard', { term: view.term, sequence: view.sequence, units: units.length, granted });
}
