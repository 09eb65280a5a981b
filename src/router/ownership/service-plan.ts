/** A plan under way for one service: which units go where, from the load on keys and what servers can do. */
import type { Key, ServerId } from '../model/identifiers.js';
import type { KeyRate } from './key-load.js';
import { bestPart, FIT_HIGH, KeyRates, type KeyRange } from './key-range.js';
import { splitUnit, takeFences, withUnits, type OwnershipTable, type Unit } from './ownership-table.js';
import type { EligibleServer, Mobility, PlanInput } from './plan-input.js';

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
/** Moves for balance in one plan of a service: this many, or more where there are many servers. */
const MOST_MOVES = 8;
const MOVES_PER_SERVER = 0.35;
/** Fewer keys than this are not left as a unit beside a part that is cut out. */
const SLIVER = 48;

/** A plan under way for one service. */
export class ServicePlan {
  table: OwnershipTable;
  readonly #input: PlanInput;
  readonly #rates: KeyRates;
  readonly #load = new Map<ServerId, number>();

  constructor(table: OwnershipTable, input: PlanInput) {
    this.table = table;
    this.#input = input;
    this.#rates = new KeyRates(input.rates);
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
    return this.#rates.total(unit.from, unit.to);
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

  /**
   * Where a unit goes: to a neighbour's owner that has room for it, so that the two can be joined, else to the
   * server with the least to do.
   */
  #targetFor(unit: Unit): EligibleServer | undefined {
    const coolest = this.#coolest();
    if (coolest === undefined) {
      return undefined;
    }
    const rate = this.#rateOf(unit);
    const room = Math.max(RELIEF_FROM, this.#utilisation(coolest) + rate / coolest.capacity);
    const fits = (server: EligibleServer): boolean =>
      server.id !== unit.owner && this.#utilisation(server) + rate / server.capacity <= room;
    return this.#neighbourOwners(unit).find(fits) ?? coolest;
  }

  #neighbourOwners(unit: Unit): EligibleServer[] {
    const owners = this.#units()
      .filter((other) => other.to + 1 === unit.from || other.from === unit.to + 1)
      .map((other) => other.owner);
    return this.#input.servers.filter((server) => owners.includes(server.id));
  }

  /** Units of servers that take none go elsewhere. */
  evacuate(): void {
    for (const unit of this.#units()) {
      const mobility = this.#load.has(unit.owner) ? null : this.#input.mobility(unit);
      const target = mobility === null ? undefined : this.#targetFor(unit);
      if (mobility !== null && target !== undefined) {
        this.#move(unit, target, mobility);
      }
    }
  }

  /** Moves load from the busiest servers to the idlest. */
  balance(): void {
    const skipped = new Set<ServerId>();
    const mostMoves = Math.max(MOST_MOVES, this.#input.servers.length * MOVES_PER_SERVER);
    for (let moves = 0; moves < mostMoves; moves += 1) {
      const hot = this.#hottest(skipped);
      const cool = this.#coolest();
      if (hot === undefined || cool === undefined || this.#utilisation(hot) < RELIEF_FROM) {
        return;
      }
      const gap = this.#utilisation(hot) - this.#utilisation(cool);
      if (gap < LEAST_GAP) {
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
        if (mobility !== null && this.#mayCut()) {
          this.#move(this.#isolate(unit, key.key), fastest, mobility);
          return true;
        }
      }
    }
    return false;
  }

  #hottestKey(unit: Unit): KeyRate | undefined {
    let hottest: KeyRate | undefined;
    for (const entry of this.#rates.within(unit.from, unit.to)) {
      if (entry.rate > (hottest?.rate ?? 0)) {
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
    this.#move(unit, this.#targetFor(unit) ?? cool, mobility);
    return true;
  }

  /** Whether there are as many units as there may be: then units are moved whole. */
  #mayCut(): boolean {
    return this.#units().length < this.#input.servers.length * MOST_UNITS_PER_SERVER;
  }

  /** Of a server's units, the one with the most load that is not more than wanted. */
  #wholeUnitToMove(hot: EligibleServer, wanted: number): Unit | undefined {
    let best: { unit: Unit; rate: number } | undefined;
    for (const unit of this.#units()) {
      const rate = unit.owner === hot.id && this.#input.mobility(unit) !== null ? this.#rateOf(unit) : 0;
      if (rate <= wanted * FIT_HIGH && rate > (best?.rate ?? 0)) {
        best = { unit, rate };
      }
    }
    return best?.unit;
  }

  /** The part of a server's keys that carries about the wanted load on the fewest keys. */
  #unitToMove(hot: EligibleServer, wanted: number): Unit | undefined {
    if (!this.#mayCut()) {
      return this.#wholeUnitToMove(hot, wanted);
    }
    let best: { unit: Unit; part: KeyRange } | undefined;
    for (const unit of this.#units()) {
      if (unit.owner === hot.id && this.#input.mobility(unit) !== null) {
        const part = bestPart(this.#rates.within(unit.from, unit.to), wanted);
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
    return this.#rates.within(from, to).length === 0;
  }

  #split(unit: Unit, middle: Key, partFrom: Key): Unit | undefined {
    this.table = splitUnit(this.table, unit, middle);
    return this.table.units.find((part) => part.service === unit.service && part.from === partFrom);
  }
}
