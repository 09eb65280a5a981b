/** Writes the ownership table, and adopts it once the store has accepted it. */
import type { ObjectWrittenEvent } from '../events.js';
import type { Milliseconds } from '../model/identifiers.js';
import type { RouterContext } from '../router-context.js';
import { describeChangedUnits } from './assignment-plan.js';
import { stepDown } from './leader-confirmation.js';
import type { Leadership, UnitProgress } from './leadership-state.js';
import { unitName, type OwnershipTable, type Unit } from './ownership-table.js';
import { beginReleases } from './repeated-releases.js';
import { readOwnershipRecord, type OwnershipRecord } from './stored-table.js';

/** Delay before the retry of a write that failed or got no answer. */
const WRITE_RETRY_DELAY: Milliseconds = 200;
/** Limit on the changed units in one log line. */
const MAX_LOGGED_UNITS = 20;

function isReleaseFinished(leadership: Leadership, unit: Unit): boolean {
  const progress = leadership.unitProgress.get(unitName(unit));
  return unit.releasing !== null && progress?.fence === unit.fence && progress.phase === 'held';
}

/**
 * Returns the table without the former owners whose units are already held by their owners: these have
 * certainly released the units, so the next leader need not wait for them again. Returns the same table if
 * there are none.
 */
export function withoutFinishedReleases(leadership: Leadership, table: OwnershipTable): OwnershipTable {
  if (!table.units.some((unit) => isReleaseFinished(leadership, unit))) {
    return table;
  }
  const units = table.units.map((unit) =>
    isReleaseFinished(leadership, unit) ? { ...unit, releasing: null } : unit,
  );
  return { ...table, units };
}

/** Writes a new table, which is carried out only once the store has accepted it. */
export function writeTable(context: RouterContext, leadership: Leadership, planned: OwnershipTable): void {
  const finished = withoutFinishedReleases(leadership, planned);
  const { isIncomplete, ...completed } = beginReleases(context, leadership, finished);
  const mayBeHeld = isIncomplete === true && context.now <= leadership.formerLeaderLeasesEndAt;
  const table: OwnershipTable = mayBeHeld ? { ...completed, isIncomplete } : completed;
  const writeId = `${context.state.identity.life}-${context.state.nextCallId}`;
  context.state.nextCallId += 1;
  leadership.pendingWrite = { table, writeId, retryAt: null };
  context.state.counters.ownership_writes += 1;
  emitWrite(context, leadership);
}

function emitWrite(context: RouterContext, leadership: Leadership): void {
  if (leadership.pendingWrite !== null) {
    const { table, writeId } = leadership.pendingWrite;
    const value: OwnershipRecord = { writeId, table };
    leadership.pendingWrite.retryAt = null;
    context.emit({ kind: 'writeObject', object: 'ownership', value, revision: leadership.tableRevision });
  }
}

/** Retries a write that failed or whose answer was lost. */
export function retryWrite(context: RouterContext, leadership: Leadership): void {
  const retryAt = leadership.pendingWrite?.retryAt ?? null;
  if (retryAt !== null && context.now >= retryAt) {
    // All attempts write the same content on the same revision: if one succeeds, the others find its write
    // id.
    emitWrite(context, leadership);
  }
}

/** Handles the outcome of a table write. */
export function receiveTableWritten(
  context: RouterContext,
  leadership: Leadership,
  event: ObjectWrittenEvent,
): void {
  const { pendingWrite } = leadership;
  if (pendingWrite === null) {
    return;
  }
  const { outcome } = event;
  if (outcome.kind === 'written') {
    adoptTable(context, leadership, pendingWrite.table, outcome.revision);
    return;
  }
  if (outcome.kind === 'conflict') {
    const record = readOwnershipRecord(outcome.value);
    if (record.writeId === pendingWrite.writeId) {
      adoptTable(context, leadership, pendingWrite.table, outcome.revision);
    } else {
      stepDown(context, 'another daemon wrote the table', null);
    }
    return;
  }
  context.state.counters.ownership_write_failures += 1;
  pendingWrite.retryAt = context.now + WRITE_RETRY_DELAY;
}

function adoptTable(
  context: RouterContext,
  leadership: Leadership,
  table: OwnershipTable,
  revision: number,
): void {
  const before = leadership.table;
  const changed = describeChangedUnits(before, table);
  leadership.pendingWrite = null;
  leadership.table = table;
  leadership.tableRevision = revision;
  leadership.viewStep = 0;
  leadership.viewChanged = true;
  reconcileProgress(context, leadership, before);
  context.state.counters.units_moved += changed.length;
  context.log('assignment_written', {
    term: leadership.term,
    revision,
    changed: changed.slice(0, MAX_LOGGED_UNITS),
  });
}

function contains(outer: Unit, inner: Unit): boolean {
  return (
    outer.service === inner.service &&
    outer.fence === inner.fence &&
    outer.from <= inner.from &&
    outer.to >= inner.to
  );
}

/**
 * Updates the progress of units for a new table: unchanged units keep theirs, and the parts of a split unit
 * inherit it.
 */
function reconcileProgress(context: RouterContext, leadership: Leadership, before: OwnershipTable): void {
  const known = new Map(leadership.unitProgress);
  leadership.unitProgress.clear();
  for (const unit of leadership.table.units) {
    const same = known.get(unitName(unit));
    if (same?.fence === unit.fence) {
      leadership.unitProgress.set(unitName(unit), same);
      continue;
    }
    const whole = before.units.find((candidate) => contains(candidate, unit));
    const inherited = whole === undefined ? undefined : known.get(unitName(whole));
    const progress =
      inherited === undefined ? newProgress(context, unit) : { ...inherited, callsInFlight: 0 };
    if (inherited === undefined && isMergedFromHeldUnits(unit, before, known)) {
      // The owner holds every part under lower fences, so the merged unit is renewed under the new one.
      progress.phase = 'held';
      progress.ownerMayHold = true;
      progress.grantedAt = context.now;
    }
    progress.nextCallAt = context.now;
    leadership.unitProgress.set(unitName(unit), progress);
  }
}

function isMergedFromHeldUnits(
  unit: Unit,
  before: OwnershipTable,
  known: ReadonlyMap<string, UnitProgress>,
): boolean {
  const parts = before.units.filter(
    (part) => part.service === unit.service && part.from <= unit.to && part.to >= unit.from,
  );
  return parts.every((part) => part.owner === unit.owner && known.get(unitName(part))?.phase === 'held');
}

function newProgress(context: RouterContext, unit: Unit): UnitProgress {
  return {
    phase: unit.releasing === null ? 'granting' : 'releasing',
    fence: unit.fence,
    ownerMayHold: false,
    isFenceRefused: false,
    handover: null,
    nextCallAt: context.now,
    callsInFlight: 0,
    grantedAt: null,
  };
}
