/**
 * Servers of a balanced service that are reserved for its most urgent requests. Daemons don't tell each other the set: each computes it from
 * the server list and the demand, in a way that gives nearly the same set when the inputs differ a little.
 */
import type { ServiceLoadView } from '../load-view/load-view.js';
import type { Milliseconds, ServerId } from '../model/identifiers.js';
import { hashText } from '../model/text-hash.js';
import { countedSlots, type ServerWithSlots } from './counted-slots.js';
import type { CandidateServer } from './server-eligibility.js';

/** The urgent demand fills at most this fraction of the reserved slots, so that urgent requests seldom wait there. */
const MAX_RESERVED_USE = 0.5;
const MIN_RESERVED_SERVERS = 2;
/** Less urgent requests keep at least the other half. */
const MAX_RESERVED_FRACTION = 0.5;
/** Urgent demand in slots from which servers are reserved. */
const MIN_URGENT_DEMAND = 0.2;
/** Urgent demand in slots below which reserved servers are given up, lower by a quarter so that a varying demand does not alternate. */
const MIN_KEPT_DEMAND = 0.16;
/** The set's size follows the demand in steps of a quarter, so that daemons with slightly different demand mostly agree. */
const DEMAND_STEP = Math.log(1.25);

/** A demand that this daemon only extrapolates from its own requests is averaged over about this time, since it sees few of them. */
const OWN_DEMAND_TIME: Milliseconds = 2_000;

/** Demand for which servers are reserved. */
export interface UrgentDemand {
  /** The least urgent priority whose requests may go to reserved servers. */
  readonly priority: number;
  readonly slots: number;
}

/**
 * Returns the demand for which servers are to be reserved; null: none. Priorities are added up until they have enough demand, so that a few
 * requests of the highest priority don't leave the next one without reserved servers.
 */
export function urgentDemand(view: ServiceLoadView, minimum = MIN_URGENT_DEMAND): UrgentDemand | null {
  let slots = 0;
  for (const [index, priority] of view.priorities.entries()) {
    slots += view.demandSlots(priority);
    if (slots >= minimum) {
      return hasDemand(view, index + 1) ? { priority, slots } : null;
    }
  }
  return null;
}

/** Returns whether the priorities from an index on have any demand. */
function hasDemand(view: ServiceLoadView, first: number): boolean {
  return view.priorities.slice(first).some((priority) => view.demandSlots(priority) > 0);
}

/** Follows the demand in steps of a quarter. A step is kept until the demand differs from it by more than a quarter. */
export class DemandStep {
  #step: number | null = null;

  /** Returns the demand to reserve for. */
  follow(slots: number): number {
    const position = Math.log(slots) / DEMAND_STEP;
    if (this.#step === null || Math.abs(position - this.#step) > 1) {
      this.#step = Math.round(position);
    }
    return Math.exp(this.#step * DEMAND_STEP);
  }

  reset(): void {
    this.#step = null;
  }
}

/** A server as the order of reservation needs it. */
export interface ReservableServer extends ServerWithSlots {
  readonly server: { readonly id: ServerId; readonly zone: string; readonly slots: number };
  readonly load: { isReserved: boolean };
}

/** Returns servers in the order in which they are reserved: by a hash of their id, and from the zones in turn. */
export function reservationOrder<Server extends ReservableServer>(servers: Iterable<Server>): Server[] {
  const byZone = new Map<string, { known: Server; hash: number }[]>();
  for (const known of servers) {
    const { id, zone } = known.server;
    const ofZone = byZone.get(zone) ?? [];
    ofZone.push({ known, hash: hashText(id) });
    byZone.set(zone, ofZone);
  }
  const ranked = [...byZone].flatMap(([zone, ofZone]) =>
    ofZone
      .sort(
        (left, right) => left.hash - right.hash || compareText(left.known.server.id, right.known.server.id),
      )
      .map(({ known }, rank) => ({ known, rank, zone })),
  );
  return ranked
    .sort((left, right) => left.rank - right.rank || compareText(left.zone, right.zone))
    .map(({ known }) => known);
}

function compareText(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}

/**
 * Marks the first servers of the order as reserved until those that are usable have enough slots, and the rest as shared. Unusable servers in
 * between are marked as well, so that the set hardly changes when they become usable.
 *
 * @param demand slots that the urgent requests keep busy; 0: no server is reserved
 * @returns the number of usable reserved servers
 */
export function markReserved<Server extends ReservableServer>(
  order: readonly Server[],
  demand: number,
  isUsable: (known: Server) => boolean,
): number {
  let usable = 0;
  for (const known of order) {
    usable += isUsable(known) ? 1 : 0;
  }
  const most = Math.floor(usable * MAX_RESERVED_FRACTION);
  let reserved = 0;
  let slots = 0;
  for (const known of order) {
    const isEnough = reserved >= MIN_RESERVED_SERVERS && slots * MAX_RESERVED_USE >= demand;
    known.load.isReserved = demand > 0 && reserved < most && !isEnough;
    if (known.load.isReserved && isUsable(known)) {
      reserved += 1;
      slots += countedSlots(known);
    }
  }
  return reserved;
}

/** The reserved servers of one service. */
export class ReservedServers {
  /** The least urgent priority whose requests may go to reserved servers; null: no server is reserved. */
  priority: number | null = null;
  /** Number of usable reserved servers. */
  size = 0;
  /** Whether the reserved servers are enough for the urgent demand; more than half of the servers are never reserved. */
  isSufficient = true;
  readonly #step = new DemandStep();
  #meanDemand = 0;
  #updatedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #order: readonly CandidateServer[] = [];
  /** The list of servers that the order was computed from. */
  #orderedRevision: number | null = null;

  #demand(view: ServiceLoadView, now: Milliseconds): UrgentDemand | null {
    const observed = urgentDemand(view, view.source === 'own' ? 0 : this.#minimum);
    const weight = view.source === 'own' ? 1 - Math.exp((this.#updatedAt - now) / OWN_DEMAND_TIME) : 1;
    this.#meanDemand += ((observed?.slots ?? 0) - this.#meanDemand) * weight;
    this.#updatedAt = now;
    const priority = observed?.priority ?? this.priority;
    return priority === null || this.#meanDemand < this.#minimum
      ? null
      : { priority, slots: this.#meanDemand };
  }

  get #minimum(): number {
    return this.priority === null ? MIN_URGENT_DEMAND : MIN_KEPT_DEMAND;
  }

  #slots(): number {
    return this.#order.reduce((sum, known) => sum + (known.load.isReserved ? countedSlots(known) : 0), 0);
  }

  /** Whether servers have been reserved at any time. */
  get wasUsed(): boolean {
    return this.#orderedRevision !== null;
  }

  /** Returns whether requests of a priority may go to the reserved servers. */
  allows(priority: number): boolean {
    return this.priority === null || priority <= this.priority;
  }

  /**
   * Marks the reserved servers by the current demand.
   *
   * @param revision identifies the list of servers; the order is computed again when it has changed
   */
  update(
    view: ServiceLoadView,
    servers: ReadonlyMap<ServerId, CandidateServer>,
    revision: number | null,
    isUsable: (known: CandidateServer) => boolean,
    now: Milliseconds,
  ): void {
    const demand = this.#demand(view, now);
    if (demand === null && this.priority === null) {
      return;
    }
    if (revision !== this.#orderedRevision || this.#order.length !== servers.size) {
      this.#order = reservationOrder(servers.values());
      this.#orderedRevision = revision;
    }
    if (demand === null) {
      this.#step.reset();
    }
    this.priority = demand?.priority ?? null;
    const slots = demand === null ? 0 : this.#step.follow(demand.slots);
    this.size = markReserved(this.#order, slots, isUsable);
    this.isSufficient = this.#slots() * MAX_RESERVED_USE >= slots;
  }
}
