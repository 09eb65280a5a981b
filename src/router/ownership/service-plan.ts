/** A plan under way for one service: which units go where, from the load on keys and what servers can do. */
import type { Key, ServerId } from '../model/identifiers.js';
import type { KeyRate } from './key-load.js';
import { KeyRates, partsUpTo, type KeyRange } from './key-range.js';
import { moveValue, usableRate, type LoadedServer } from './move-value.js';
import { splitUnit, takeFences, withUnits, type OwnershipTable, type Unit } from './ownership-table.js';
import type { EligibleServer, Mobility, PlanInput } from './plan-input.js';

/** Below this utilisation a server needs no relief. */
const RELIEF_FROM = 0.5;
/** Parts of the load that would even two servers out, from which a plan chooses what to move. */
const PART_SHARES = [1.25, 0.6, 0.25];
/** Each unit is renewed by itself: no more are made than this many for each server. */
const MOST_UNITS_PER_SERVER = 10;
/** Moves for balance in one plan of a service: this many, or more where there are many servers. */
const MOST_MOVES = 8;
const MOVES_PER_SERVER = 0.35;
/** Fewer keys than this are not left as a unit beside a part that is cut out. */
const SLIVER = 48;

/** A part of a unit that may go to another server. */
interface Move {
  readonly unit: Unit;
  readonly part: KeyRange;
  readonly to: EligibleServer;
  readonly mobility: Mobility;
  /** Requests that it saves, after what it costs. */
  readonly value: number;
}

/** Warm servers; cold ones only where there are no others. */
export function takersOf(servers: readonly EligibleServer[]): readonly EligibleServer[] {
  const warm = servers.filter((server) => !server.isCold);
  return warm.length > 0 ? warm : servers;
}

/** A plan under way for one service. */
export class ServicePlan {
  table: OwnershipTable;
  readonly #input: PlanInput;
  readonly #rates: KeyRates;
  readonly #load = new Map<ServerId, number>();
  /** Servers that units may go to. */
  readonly #takers: readonly EligibleServer[];

  constructor(table: OwnershipTable, input: PlanInput) {
    this.table = table;
    this.#input = input;
    this.#rates = new KeyRates(input.rates);
    this.#takers = takersOf(input.servers);
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
    return (this.#load.get(server.id) ?? 0) / usableRate(server.room);
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
    return [...this.#takers].sort(byNeed)[0];
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

  /** Moves load off busy servers while that saves more than it costs. */
  balance(): void {
    const mostMoves = Math.max(MOST_MOVES, this.#input.servers.length * MOVES_PER_SERVER);
    const settled = new Set<ServerId>();
    for (let moves = 0; moves < mostMoves; moves += 1) {
      const hot = this.#hottest(settled);
      if (hot === undefined || this.#utilisation(hot) < RELIEF_FROM) {
        return;
      }
      const best = this.#bestMove(hot);
      if (best === undefined) {
        settled.add(hot.id);
      } else {
        this.#move(this.#cutOut(best.unit, best.part), best.to, best.mobility);
      }
    }
  }

  #loaded(server: EligibleServer): LoadedServer {
    return { load: this.#load.get(server.id) ?? 0, room: server.room };
  }

  /** Of all moves that relieve a server, the one that is worth most; undefined when none pays. */
  #bestMove(hot: EligibleServer): Move | undefined {
    let best: Move | undefined;
    const targets = this.#targets(hot);
    for (const unit of this.#units()) {
      const mobility = unit.owner === hot.id ? this.#input.mobility(unit) : null;
      if (mobility === null) {
        continue;
      }
      for (const part of this.#partsToMove(unit, hot, targets)) {
        for (const to of targets) {
          const value = moveValue({
            from: this.#loaded(hot),
            to: this.#loaded(to),
            rate: part.rate,
            keys: part.to - part.from + 1,
          });
          if (value > (best?.value ?? 0)) {
            best = { unit, part, to, mobility, value };
          }
        }
      }
    }
    return best;
  }

  /** Servers that load may go to: the least utilised, the one with the most room, the one that can do the most. */
  #targets(hot: EligibleServer): EligibleServer[] {
    const others = this.#takers.filter((server) => server.id !== hot.id);
    const most = (value: (server: EligibleServer) => number): EligibleServer | undefined =>
      others.reduce<EligibleServer | undefined>(
        (best, server) => (best === undefined || value(server) > value(best) ? server : best),
        undefined,
      );
    const room = (server: EligibleServer): number =>
      usableRate(server.room) - (this.#load.get(server.id) ?? 0);
    const chosen = [
      most((server) => -this.#utilisation(server)),
      most(room),
      most(({ room: able }) => usableRate(able)),
    ];
    return [...new Set(chosen)].filter((server) => server !== undefined);
  }

  /** The whole unit, its hottest key, and runs of its keys that carry parts of what evens out two servers. */
  #partsToMove(unit: Unit, hot: EligibleServer, targets: readonly EligibleServer[]): KeyRange[] {
    const whole = { from: unit.from, to: unit.to, rate: this.#rateOf(unit) };
    if (whole.rate === 0 || !this.#mayCut()) {
      return whole.rate === 0 ? [] : [whole];
    }
    const rates = this.#rates.within(unit.from, unit.to);
    const parts: KeyRange[] = [whole];
    const hottest = this.#hottestKey(unit);
    if (hottest !== undefined) {
      parts.push({ from: hottest.key, to: hottest.key, rate: hottest.rate });
    }
    const widest = Math.max(...targets.map((to) => this.#evenShare(hot, to)));
    for (const share of PART_SHARES) {
      parts.push(...partsUpTo(rates, widest * share));
    }
    return parts;
  }

  /** The load whose move leaves two servers equally utilised. */
  #evenShare(hot: EligibleServer, cool: EligibleServer): number {
    const hotLoad = this.#load.get(hot.id) ?? 0;
    const coolLoad = this.#load.get(cool.id) ?? 0;
    const [hotRate, coolRate] = [usableRate(hot.room), usableRate(cool.room)];
    return (hotLoad * coolRate - coolLoad * hotRate) / (hotRate + coolRate);
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

  /** Whether there are fewer units than there may be; else they are moved whole. */
  #mayCut(): boolean {
    return this.#units().length < this.#input.servers.length * MOST_UNITS_PER_SERVER;
  }

  /** Makes a range of a unit's keys a unit of its own, with the few keys beside it that nobody asks for. */
  #cutOut(unit: Unit, { from, to }: KeyRange): Unit {
    if (from === unit.from && to === unit.to) {
      return unit;
    }
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
