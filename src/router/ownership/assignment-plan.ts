/**
 * Decides who should own what: first assignment, evacuation of servers that leave or are lost, and moves of
 * load off servers that have too much. Pure: from a table and what is known to a new table.
 */
import { LAST_KEY, type Key, type ServerId, type ServiceName } from '../model/identifiers.js';
import type { KeyRate } from './key-load.js';
import {
  firstUnits,
  splitUnit,
  takeFences,
  unitName,
  withUnits,
  type OwnershipTable,
  type Unit,
} from './ownership-table.js';

/** A server that takes units. */
export interface EligibleServer {
  readonly id: ServerId;
  readonly zone: string;
  /** Requests a second that it can answer. */
  readonly capacity: number;
}

/** What a plan for one service is made from. */
export interface PlanInput {
  readonly service: ServiceName;
  readonly servers: readonly EligibleServer[];
  /** Rates by key, in the order of keys. */
  readonly rates: readonly KeyRate[];
  /** How a unit may be moved now, or null while it must stay. */
  readonly mobility: (unit: Unit) => Mobility | null;
}

/** The server that must give a unit up before it goes on. */
export interface Mobility {
  readonly releasing: ServerId | null;
}

/** Below this utilisation a server needs no relief. */
const RELIEF_FROM = 0.5;
/** A move must narrow a gap in utilisation of at least this much. */
const LEAST_GAP = 0.2;
/** A key that takes this much of its server by itself goes to a faster one. */
const HOT_KEY_UTILISATION = 0.5;
/** Faster by this factor. */
const FASTER = 1.35;
/** Each unit is renewed by itself: no more are made than this many for each server. */
const MOST_UNITS_PER_SERVER = 10;
/** Moves for balance in one plan, for each service. */
const MOST_MOVES = 8;
/** A part that is moved carries between these shares of the wanted load. */
const LEAST_PART = 0.12;
const FIT_HIGH = 1.25;
/** What moving all keys costs, against the load that is wanted. */
const SPAN_COST = 5;
/** Fewer keys than this are not left as a unit beside a part that is cut out. */
const SLIVER = 48;

/** Servers so that neighbours in the list stand in different zones. */
function spreadZones(servers: readonly EligibleServer[]): EligibleServer[] {
  const zones = new Map<string, EligibleServer[]>();
  for (const server of [...servers].sort((left, right) => (left.id < right.id ? -1 : 1))) {
    zones.set(server.zone, [...(zones.get(server.zone) ?? []), server]);
  }
  const queues = [...zones.values()];
  const spread: EligibleServer[] = [];
  while (spread.length < servers.length) {
    for (const queue of queues) {
      const next = queue.shift();
      if (next !== undefined) {
        spread.push(next);
      }
    }
  }
  return spread;
}

function rateWithin(rates: readonly KeyRate[], from: Key, to: Key): number {
  return rates.reduce((sum, { key, rate }) => (key >= from && key <= to ? sum + rate : sum), 0);
}

/** A range of keys, and how well it fits what is wanted. */
interface KeyRange {
  readonly from: Key;
  readonly to: Key;
  readonly value: number;
}

/** Of all runs of neighbouring keys below a wanted rate, the one with the most load on the fewest keys. */
function bestPart(rates: readonly KeyRate[], wanted: number): KeyRange | undefined {
  let best: KeyRange | undefined;
  let sum = 0;
  let first = 0;
  for (const [last, { key, rate }] of rates.entries()) {
    sum += rate;
    while (sum > wanted * FIT_HIGH && first <= last) {
      sum -= (rates[first] as KeyRate).rate;
      first += 1;
    }
    const from = rates[first]?.key ?? key;
    const value = Math.min(1, sum / wanted) - (SPAN_COST * (key - from)) / (LAST_KEY + 1);
    if (first <= last && sum >= wanted * LEAST_PART && value > (best?.value ?? 0)) {
      best = { from, to: key, value };
    }
  }
  return best;
}

/** A plan under way for one service. */
class ServicePlan {
  table: OwnershipTable;
  readonly #input: PlanInput;
  readonly #load = new Map<ServerId, number>();

  constructor(table: OwnershipTable, input: PlanInput) {
    this.table = table;
    this.#input = input;
    for (const server of input.servers) {
      this.#load.set(server.id, 0);
    }
    for (const unit of this.#units()) {
      this.#addLoad(unit.owner, this.#rateOf(unit));
    }
  }

  #units(): Unit[] {
    return this.table.units.filter((unit) => unit.service === this.#input.service);
  }

  #rateOf(unit: Unit): number {
    return rateWithin(this.#input.rates, unit.from, unit.to);
  }

  #addLoad(server: ServerId, rate: number): void {
    const load = this.#load.get(server);
    if (load !== undefined) {
      this.#load.set(server, load + rate);
    }
  }

  #utilisation(server: EligibleServer): number {
    return (this.#load.get(server.id) ?? 0) / server.capacity;
  }

  /** The server with the least to do; among equals the one with the fewest units. */
  #coolest(): EligibleServer | undefined {
    const counts = new Map<ServerId, number>();
    for (const unit of this.#units()) {
      counts.set(unit.owner, (counts.get(unit.owner) ?? 0) + 1);
    }
    const byNeed = (left: EligibleServer, right: EligibleServer): number =>
      this.#utilisation(left) - this.#utilisation(right) ||
      (counts.get(left.id) ?? 0) - (counts.get(right.id) ?? 0);
    return [...this.#input.servers].sort(byNeed)[0];
  }

  #hottest(skipped: ReadonlySet<ServerId>): EligibleServer | undefined {
    const open = this.#input.servers.filter((server) => !skipped.has(server.id));
    return open.sort((left, right) => this.#utilisation(right) - this.#utilisation(left))[0];
  }

  #move(unit: Unit, to: EligibleServer, mobility: Mobility): void {
    const taken = takeFences(this.table);
    const moved: Unit = { ...unit, owner: to.id, fence: taken.fence, releasing: mobility.releasing };
    const units = this.table.units.map((other) => (other === unit ? moved : other));
    this.table = withUnits(taken.table, units);
    const rate = this.#rateOf(unit);
    this.#addLoad(unit.owner, -rate);
    this.#addLoad(to.id, rate);
  }

  /** Units of servers that take none go elsewhere. */
  evacuate(): void {
    for (const unit of this.#units()) {
      const mobility = this.#load.has(unit.owner) ? null : this.#input.mobility(unit);
      const target = mobility === null ? undefined : this.#coolest();
      if (mobility !== null && target !== undefined) {
        this.#move(unit, target, mobility);
      }
    }
  }

  /** Moves load from the busiest servers to the idlest. */
  balance(): void {
    const skipped = new Set<ServerId>();
    for (let moves = 0; moves < MOST_MOVES; moves += 1) {
      const hot = this.#hottest(skipped);
      const cool = this.#coolest();
      if (hot === undefined || cool === undefined || this.#utilisation(hot) < RELIEF_FROM) {
        return;
      }
      const gap = this.#utilisation(hot) - this.#utilisation(cool);
      if (gap < LEAST_GAP) {
        return;
      }
      if (this.#units().length >= this.#input.servers.length * MOST_UNITS_PER_SERVER) {
        return;
      }
      if (!this.#moveHotKey(hot) && !this.#relieve(hot, cool)) {
        skipped.add(hot.id);
      }
    }
  }

  /** A key that is too much for its server goes to the fastest one, which then sheds the rest. */
  #moveHotKey(hot: EligibleServer): boolean {
    const fastest = [...this.#input.servers].sort((left, right) => right.capacity - left.capacity)[0];
    if (fastest === undefined || fastest.capacity < hot.capacity * FASTER) {
      return false;
    }
    for (const unit of this.#units()) {
      const key = unit.owner === hot.id ? this.#hottestKey(unit) : undefined;
      if (key !== undefined && key.rate / hot.capacity > HOT_KEY_UTILISATION) {
        const mobility = this.#input.mobility(unit);
        if (mobility !== null) {
          this.#move(this.#isolate(unit, key.key), fastest, mobility);
          return true;
        }
      }
    }
    return false;
  }

  #hottestKey(unit: Unit): KeyRate | undefined {
    let hottest: KeyRate | undefined;
    for (const entry of this.#input.rates) {
      const within = entry.key >= unit.from && entry.key <= unit.to;
      if (within && entry.rate > (hottest?.rate ?? 0)) {
        hottest = entry;
      }
    }
    return hottest;
  }

  /** Makes one key a unit of its own. */
  #isolate(unit: Unit, key: Key): Unit {
    const fromKey = key > unit.from ? (this.#split(unit, key, key) ?? unit) : unit;
    return key < fromKey.to ? (this.#split(fromKey, key + 1, key) ?? fromKey) : fromKey;
  }

  /** Moves a part of one server's load to another. False when nothing can be moved to the good. */
  #relieve(hot: EligibleServer, cool: EligibleServer): boolean {
    const hotLoad = this.#load.get(hot.id) ?? 0;
    const coolLoad = this.#load.get(cool.id) ?? 0;
    const wanted = (hotLoad * cool.capacity - coolLoad * hot.capacity) / (hot.capacity + cool.capacity);
    const unit = this.#unitToMove(hot, wanted);
    const mobility = unit === undefined ? null : this.#input.mobility(unit);
    if (unit === undefined || mobility === null) {
      return false;
    }
    this.#move(unit, cool, mobility);
    return true;
  }

  /** The part of a server's keys that carries about the wanted load on the fewest keys. */
  #unitToMove(hot: EligibleServer, wanted: number): Unit | undefined {
    let best: { unit: Unit; part: KeyRange } | undefined;
    for (const unit of this.#units()) {
      if (unit.owner === hot.id && this.#input.mobility(unit) !== null) {
        const rates = this.#input.rates.filter(({ key }) => key >= unit.from && key <= unit.to);
        const part = bestPart(rates, wanted);
        if (part !== undefined && part.value > (best?.part.value ?? 0)) {
          best = { unit, part };
        }
      }
    }
    return best === undefined ? undefined : this.#cutOut(best.unit, best.part);
  }

  /** Makes a range of a unit's keys a unit of its own, with the few keys beside it that nobody asks for. */
  #cutOut(unit: Unit, { from, to }: KeyRange): Unit {
    const headIsSliver = from - unit.from < SLIVER && this.#isCold(unit.from, from - 1);
    const head = headIsSliver ? unit : (this.#split(unit, from, from) ?? unit);
    const tailIsSliver = head.to - to < SLIVER && this.#isCold(to + 1, head.to);
    return tailIsSliver ? head : (this.#split(head, to + 1, head.from) ?? head);
  }

  #isCold(from: Key, to: Key): boolean {
    return !this.#input.rates.some(({ key }) => key >= from && key <= to);
  }

  #split(unit: Unit, middle: Key, partFrom: Key): Unit | undefined {
    this.table = splitUnit(this.table, unit, middle);
    return this.table.units.find((part) => part.service === unit.service && part.from === partFrom);
  }
}

/** The table as it should be for one service. Returns the same table when nothing is to change. */
export function planService(table: OwnershipTable, input: PlanInput): OwnershipTable {
  if (input.servers.length === 0) {
    return table;
  }
  if (!table.units.some((unit) => unit.service === input.service)) {
    const owners = spreadZones(input.servers).map((server) => server.id);
    return firstUnits(table, input.service, owners);
  }
  const plan = new ServicePlan(table, input);
  plan.evacuate();
  plan.balance();
  return plan.table;
}

/** Names of units that changed hands or were made, for the log. */
export function changedUnits(before: OwnershipTable, after: OwnershipTable): string[] {
  const known = new Set(before.units.map((unit) => `${unitName(unit)}@${unit.fence}`));
  return after.units
    .filter((unit) => !known.has(`${unitName(unit)}@${unit.fence}`))
    .map((unit) => `${unitName(unit)} to ${unit.owner}, fence ${unit.fence}`);
}
