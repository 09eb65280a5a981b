/** Draws from a seed when odd entries stand. Entries follow each other and overlap. */
import { SeededRandom } from '../../src/core/random.js';
import {
  type Fields,
  HUGE_ENTRY_KIND,
  ODD_ENTRY_KINDS,
  ODD_EVACUATION_KINDS,
  ODD_LEADER_FIELDS,
  type OddEntryKind,
} from './odd-entries.js';

/** What odd entries are left among, or what they stand in for. */
export type OddEntryPlace =
  | { readonly kind: 'servers'; readonly service: 'plain' | 'keyed'; readonly takesName: boolean }
  | { readonly kind: 'evacuations' }
  /** The leader's record, with other values in some of its fields. */
  | { readonly kind: 'leader'; readonly fields: Fields };

/** An odd entry. Times are in milliseconds. */
export interface PlannedEntry {
  /** Time after the daemons have settled. */
  readonly at: number;
  readonly lasts: number;
  readonly place: OddEntryPlace;
  /** Null for the leader's record. */
  readonly entry: OddEntryKind | null;
  /** What the entry changes to in the middle of its time; null: it does not change. */
  readonly next: OddEntryKind | null;
}

const SHORTEST_TIME_MILLISECONDS = 500;
const LONGEST_TIME_MILLISECONDS = 4_000;
const LONGEST_GAP_MILLISECONDS = 900;
/** Shares of the entries. */
const SHARE_IN_EVACUATIONS = 0.05;
const SHARE_IN_PLACE_OF_LEADER = 0.04;
const SHARE_HUGE = 0.02;
const SHARE_UNDER_SERVER_NAMES = 0.3;
const SHARE_THAT_CHANGES = 0.3;
/** Kinds that one seed goes past, so that the seeds begin at different ones. */
const KINDS_PER_SEED = 17;

/** Draws the odd entries of a run. Each seed goes through the kinds from another one on. */
export function drawOddEntries(seed: number, length: number): PlannedEntry[] {
  const random = new SeededRandom(seed + 871_000);
  const isDrawn = (share: number): boolean => random.fraction() < share;
  const drawKind = (kinds: readonly OddEntryKind[]): OddEntryKind =>
    kinds[Math.floor(random.fraction() * kinds.length)] as OddEntryKind;
  const planned: PlannedEntry[] = [];
  let index = seed * KINDS_PER_SEED;
  for (let at = 0; at < length; at += random.fraction() * LONGEST_GAP_MILLISECONDS) {
    const lasts =
      SHORTEST_TIME_MILLISECONDS +
      random.fraction() * (LONGEST_TIME_MILLISECONDS - SHORTEST_TIME_MILLISECONDS);
    const service = isDrawn(0.5) ? 'plain' : 'keyed';
    const isUnderServerName = isDrawn(SHARE_UNDER_SERVER_NAMES);
    const next = isDrawn(SHARE_THAT_CHANGES) ? drawKind(ODD_ENTRY_KINDS) : null;
    if (isDrawn(SHARE_IN_EVACUATIONS)) {
      planned.push({
        at,
        lasts,
        place: { kind: 'evacuations' },
        entry: drawKind(ODD_EVACUATION_KINDS),
        next: null,
      });
    } else if (isDrawn(SHARE_IN_PLACE_OF_LEADER)) {
      const fields = ODD_LEADER_FIELDS[Math.floor(random.fraction() * ODD_LEADER_FIELDS.length)] as Fields;
      planned.push({ at, lasts, place: { kind: 'leader', fields }, entry: null, next: null });
    } else {
      const isHuge = isDrawn(SHARE_HUGE);
      const entry = isHuge
        ? HUGE_ENTRY_KIND
        : (ODD_ENTRY_KINDS[index % ODD_ENTRY_KINDS.length] as OddEntryKind);
      index += isHuge ? 0 : 1;
      const takesName = isUnderServerName && entry.canTakeName;
      planned.push({ at, lasts, place: { kind: 'servers', service, takesName }, entry, next });
    }
  }
  return planned;
}

const STANDING_KINDS = 8;

/** Returns the kinds of entries that stand while nothing else is wrong. Each seed has others. */
export function standingKinds(seed: number): OddEntryKind[] {
  return Array.from(
    { length: STANDING_KINDS },
    (_, index) => ODD_ENTRY_KINDS[(seed * STANDING_KINDS + index) % ODD_ENTRY_KINDS.length] as OddEntryKind,
  );
}
