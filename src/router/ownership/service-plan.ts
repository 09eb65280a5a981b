/** Plans the assignment of one service from the load on its keys and the throughput of its servers. */
import type { ServerId } from '../model/identifiers.js';
import type { KeyRate } from './key-load.js';
import { KeyRates, rangesUpToRate, type KeyRange } from './key-range.js';
import { costOfUnit, MoveEvaluation, netBenefitOfMove } from './move-benefit.js';
import type { OwnershipTable, Unit } from './ownership-table.js';
import type { EligibleServer, MovePermission, PlanInput } from './plan-input.js';
import { ServiceLoad } from './service-load.js';
import { ServiceUnits, type Neighbours } from './service-units.js';

/** Load is moved only off servers with at least this utilisation. */
const MIN_RELIEF_UTILISATION = 0.5;
/**
 * Loads that a plan considers moving, as shares of the load that would equalise the utilisation of two
 * servers.
 */
const MOVED_LOAD_SHARES = [1.25, 0.6, 0.25];
/** Units of cooled ranges are rejoined with adjacent units while a service has more units per server than this. */
const TARGET_UNITS_PER_SERVER = 2;
/** Value in requests of one unit less when a unit is moved for that alone. */
const REJOIN_VALUE = 1;
/** Cost in requests of each key moved for that, beyond its usual cost: wide units stay where they are. */
const REJOIN_COST_PER_KEY = 0.003;
/** Limit on the moves in one plan that only rejoin units. Each of them makes its keys slow for a while. */
const MAX_REJOINS = 3;
/** A move reduces the number of units by at most this many. */
const MAX_REMOVED_UNITS = 2;
/** Limit on the units of a service per server. Each unit needs renewals of its own. */
const MAX_UNITS_PER_SERVER = 6;
/**
 * Limit on the balancing moves in one plan of a service: the base limit, or more where there are many
 * servers.
 */
const BASE_MOVE_LIMIT = 8;
const MOVES_PER_SERVER = 0.35;
/** Fewer keys than this are not left as a unit of their own beside a range that is split off. */
const MIN_REMAINDER_KEYS = 48;

type KeySpan = Pick<KeyRange, 'from' | 'to'>;

/** A move of a part of a unit to another server. */
interface PlannedMove {
  readonly unit: Unit;
  readonly part: KeyRange;
  readonly to: EligibleServer;
  readonly permission: MovePermission;
  /** Requests that the move saves, less its cost in requests. */
  readonly value: number;
}

/** Plan of the assignment of one service, built up move by move. */
export class ServicePlan {
  readonly #input: PlanInput;
  readonly #rates: KeyRates;
  readonly #units: ServiceUnits;
  readonly #load: ServiceLoad;

  constructor(table: OwnershipTable, input: PlanInput) {
    this.#input = input;
    this.#rates = new KeyRates(input.rates);
    this.#units = new ServiceUnits(table, input.service);
    this.#load = new ServiceLoad(input.servers);
    for (const unit of this.#units.all) {
      this.#load.add(unit.owner, this.#rateOf(unit));
    }
  }

  /** The planned table; the same table as before if nothing is to change. */
  get table(): OwnershipTable {
    return this.#units.toTable();
  }

  #rateOf(unit: Unit): number {
    return this.#rates.total(unit.from, unit.to);
  }

  #move(unit: Unit, to: EligibleServer, permission: MovePermission): void {
    this.#units.move(unit, to.id, permission.releasing);
    const rate = this.#rateOf(unit);
    this.#load.add(unit.owner, -rate);
    this.#load.add(to.id, rate);
  }

  /** Moves the units of servers that are not eligible to other servers. */
  reassignFromIneligibleServers(): void {
    for (const unit of [...this.#units.all]) {
      const isEligible = this.#load.server(unit.owner) !== undefined;
      const permission = isEligible ? null : this.#input.movePermission(unit);
      const target =
        permission === null
          ? undefined
          : this.#load.leastUtilised((server) => this.#units.ownedBy(server).length);
      if (permission !== null && target !== undefined) {
        this.#move(unit, target, permission);
      }
    }
  }

  /** Moves load off busy servers as long as a move saves more than it costs. */
  balance(): void {
    const maxMoves = Math.max(BASE_MOVE_LIMIT, this.#input.servers.length * MOVES_PER_SERVER);
    const exhausted = new Set<ServerId>();
    for (let moves = 0; moves < maxMoves; moves += 1) {
      const hot = this.#load.mostUtilised(exhausted);
      if (hot === undefined || this.#load.utilisation(hot) < MIN_RELIEF_UTILISATION) {
        return;
      }
      const best = this.#bestMove(hot);
      if (best === undefined) {
        exhausted.add(hot.id);
      } else {
        this.#move(this.#splitOff(best.unit, best.part), best.to, best.permission);
      }
    }
  }

  /** Returns the move off a server with the highest net benefit, or undefined if no move has one. */
  #bestMove(hot: EligibleServer): PlannedMove | undefined {
    let best: PlannedMove | undefined;
    const targets = this.#load.targetsFor(hot);
    const unitCost = costOfUnit(this.#units.all.length, this.#input.servers.length);
    const evaluation = new MoveEvaluation(this.#load.of(hot));
    for (const unit of this.#units.ownedBy(hot.id)) {
      const permission = this.#input.movePermission(unit);
      if (permission === null) {
        continue;
      }
      const neighbours = this.#units.neighboursOf(unit);
      const unitTargets = this.#withNeighbours(targets, neighbours, hot).map((to) => {
        return { to, loaded: this.#load.of(to) };
      });
      for (const part of this.#partsToMove(unit, hot, targets)) {
        const keys = part.to - part.from + 1;
        const required = best?.value ?? 0;
        if (evaluation.maxBenefit(part.rate, keys) + unitCost * MAX_REMOVED_UNITS <= required) {
          continue;
        }
        for (const { to, loaded } of unitTargets) {
          const benefit = evaluation.netBenefit(loaded, part.rate, keys);
          const value = benefit - unitCost * this.#addedUnits(unit, part, to.id, neighbours);
          if (value > (best?.value ?? 0)) {
            best = { unit, part, to, permission, value };
          }
        }
      }
    }
    return best;
  }

  /** Returns targets together with the owners of adjacent units, with which a moved part can be merged. */
  #withNeighbours(
    targets: readonly EligibleServer[],
    { left, right }: Neighbours,
    hot: EligibleServer,
  ): EligibleServer[] {
    const chosen = [...targets];
    for (const unit of [left, right]) {
      const owner = unit === undefined ? undefined : this.#load.spareTarget(unit.owner);
      if (owner !== undefined && owner.id !== hot.id && !chosen.includes(owner)) {
        chosen.push(owner);
      }
    }
    return chosen;
  }

  /** Returns by how many units a move increases the table, once adjacent units of one owner have been merged. */
  #addedUnits(unit: Unit, part: KeyRange, to: ServerId, { left, right }: Neighbours): number {
    const hasHead = part.from > unit.from && !this.#keepsHead(unit, part);
    const hasTail = part.to < unit.to && !this.#keepsTail(unit, part);
    const first = hasHead ? 1 : left?.owner === to ? -1 : 0;
    const last = hasTail ? 1 : right?.owner === to ? -1 : 0;
    return first + last;
  }

  /** Gives cooled units to owners of adjacent units, which then need only one renewal for both. */
  rejoin(): void {
    const excess = this.#units.all.length - this.#input.servers.length * TARGET_UNITS_PER_SERVER;
    for (let moves = 0; moves < Math.min(MAX_REJOINS, excess); moves += 1) {
      const best = this.#bestRejoin();
      if (best === undefined) {
        return;
      }
      this.#move(best.unit, best.to, best.permission);
    }
  }

  #bestRejoin(): PlannedMove | undefined {
    let best: PlannedMove | undefined;
    for (const unit of this.#units.all) {
      const from = this.#load.server(unit.owner);
      const candidate = from === undefined ? undefined : this.#bestRejoinOf(unit, from);
      // The permission is asked for last: finding it takes longer than the value of the move.
      if (candidate !== undefined && candidate.value > (best?.value ?? 0)) {
        const permission = this.#input.movePermission(unit);
        best = permission === null ? best : { ...candidate, permission };
      }
    }
    return best;
  }

  #bestRejoinOf(unit: Unit, from: EligibleServer): Omit<PlannedMove, 'permission'> | undefined {
    let best: Omit<PlannedMove, 'permission'> | undefined;
    const part = { from: unit.from, to: unit.to, rate: this.#rateOf(unit) };
    const keys = part.to - part.from + 1;
    const neighbours = this.#units.neighboursOf(unit);
    for (const to of this.#withNeighbours([], neighbours, from)) {
      const { rate } = part;
      const benefit = netBenefitOfMove({ from: this.#load.of(from), to: this.#load.of(to), rate, keys });
      const value =
        benefit - REJOIN_COST_PER_KEY * keys - REJOIN_VALUE * this.#addedUnits(unit, part, to.id, neighbours);
      if (value > (best?.value ?? 0)) {
        best = { unit, part, to, value };
      }
    }
    return best;
  }

  /**
   * Yields the candidate parts of a unit: the whole unit, its hottest key, and runs of its keys that carry
   * shares of the load that would equalise two servers.
   */
  *#partsToMove(unit: Unit, hot: EligibleServer, targets: readonly EligibleServer[]): Generator<KeyRange> {
    const whole = { from: unit.from, to: unit.to, rate: this.#rateOf(unit) };
    if (whole.rate !== 0) {
      yield whole;
    }
    if (whole.rate === 0 || !this.#maySplit()) {
      return;
    }
    const rates = this.#rates.ratesWithin(unit.from, unit.to);
    const hottest = hottestOf(rates);
    if (hottest !== undefined) {
      yield { from: hottest.key, to: hottest.key, rate: hottest.rate };
    }
    const maxLoad = Math.max(...targets.map((to) => this.#load.equalising(hot, to)));
    for (const share of MOVED_LOAD_SHARES) {
      yield* rangesUpToRate(rates, maxLoad * share);
    }
  }

  /** Returns whether the limit on units allows another split; otherwise units are moved whole. */
  #maySplit(): boolean {
    return this.#units.all.length < this.#input.servers.length * MAX_UNITS_PER_SERVER;
  }

  /** Splits a range of keys off a unit, together with adjacent keys if they are few and not requested. */
  #splitOff(unit: Unit, part: KeySpan): Unit {
    if (part.from === unit.from && part.to === unit.to) {
      return unit;
    }
    const head = this.#keepsHead(unit, part) ? unit : (this.#units.split(unit, part.from).at(-1) ?? unit);
    return this.#keepsTail(unit, part) ? head : this.#units.split(head, part.to + 1)[0];
  }

  #keepsHead(unit: Unit, { from }: KeySpan): boolean {
    return from - unit.from < MIN_REMAINDER_KEYS && this.#rates.isUnrequested(unit.from, from - 1);
  }

  #keepsTail(unit: Unit, { to }: KeySpan): boolean {
    return unit.to - to < MIN_REMAINDER_KEYS && this.#rates.isUnrequested(to + 1, unit.to);
  }
}

function hottestOf(rates: readonly KeyRate[]): KeyRate | undefined {
  let hottest: KeyRate | undefined;
  for (const entry of rates) {
    if (entry.rate > (hottest?.rate ?? 0)) {
      hottest = entry;
    }
  }
  return hottest;
}
