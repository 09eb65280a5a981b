/**
 * A server that accepts fenced grants, as a pure model: the emulated server processes and the simulation
 * run this same code. It judges everything by its own clock and trusts no other.
 */
import type { FencingToken } from '../core/effects.js';
import type { Epoch, Milliseconds, ShardId, UnitNumber } from '../core/identifiers.js';
import type { ControlReply, ControlRequest, UnitEpoch } from '../core/server-control.js';

interface HeldUnit {
  readonly epoch: Epoch;
  /** Revoked while requests run: no new ones are taken. */
  draining: boolean;
}

interface ShardHold {
  generation: number;
  term: number;
  leaseEnd: Milliseconds;
  lapseCount: number;
  readonly held: Map<UnitNumber, HeldUnit>;
  /** The highest epoch seen of each unit, granted or revoked. */
  readonly highest: Map<UnitNumber, Epoch>;
}

/** Why a server does not run a request. */
export type RequestRefusal = 'not-owner' | 'lease-lapsed' | 'leaving' | 'overloaded';

/** One server's grants, leases and running requests. */
export class ServerModel {
  readonly incarnation: number;
  leaving = false;
  readonly #shards = new Map<ShardId, ShardHold>();
  readonly #running = new Map<UnitNumber, number>();

  constructor(incarnation: number) {
    this.incarnation = incarnation;
  }

  /** Answers a leader's call at a time on the server's own clock. */
  control(request: ControlRequest, clock: Milliseconds): ControlReply {
    const reply = { ...emptyReply(request.sequence, this.incarnation, clock), draining: this.leaving };
    if (request.serverIncarnation !== 0 && request.serverIncarnation !== this.incarnation) {
      return { ...reply, refusal: 'other-incarnation' };
    }
    const hold = this.#holdOf(request.shard);
    if (isOlderLeader(request, hold)) {
      return { ...reply, refusal: 'older-leader' };
    }
    hold.generation = request.generation;
    hold.term = request.term;
    this.#dropIfLapsed(hold, clock);
    const { lapseCount } = hold;
    const leaseEnd = request.stamp === null ? 0 : request.stamp + request.leaseMilliseconds;
    hold.leaseEnd = Math.max(hold.leaseEnd, leaseEnd);
    const revoked = request.revokes.filter((revoke) => this.#revoke(hold, revoke));
    // A call whose own stamp has run out is void: the leader may have given the units to others since.
    const grants = leaseEnd > clock ? request.grants : [];
    const granted = grants.filter((grant) => this.#grant(hold, grant));
    const staleGrants = grants.filter((grant) => !granted.includes(grant));
    const inventory = request.wantInventory ? inventoryOf(hold) : null;
    return { ...reply, lapseCount, granted, staleGrants, revoked, inventory };
  }

  /** Whether a request may run now; if it may, it counts as running until `finish`. */
  admit(token: FencingToken | null, clock: Milliseconds): RequestRefusal | null {
    if (token === null) {
      return this.leaving ? 'leaving' : null;
    }
    const refusal = this.#checkToken(token, clock);
    if (refusal === null) {
      this.#running.set(token.unit, (this.#running.get(token.unit) ?? 0) + 1);
    }
    return refusal;
  }

  /** Whether a request that was admitted may still take effect. */
  mayTakeEffect(token: FencingToken | null, clock: Milliseconds): boolean {
    return token === null || this.#findHold(token, clock) !== undefined;
  }

  /** A request that was admitted has ended. */
  finish(token: FencingToken | null): void {
    if (token === null) {
      return;
    }
    const left = (this.#running.get(token.unit) ?? 1) - 1;
    if (left > 0) {
      this.#running.set(token.unit, left);
    } else {
      this.#running.delete(token.unit);
    }
  }

  /** Units held under a valid lease at a time on the server's own clock, those being given up included. */
  ownedUnits(clock: Milliseconds): UnitEpoch[] {
    return [...this.#shards.values()].filter((hold) => clock < hold.leaseEnd).flatMap(inventoryOf);
  }

  /** The epoch at which a unit is held under a valid lease, or undefined. */
  ownedEpoch(unit: UnitNumber, clock: Milliseconds): Epoch | undefined {
    for (const hold of this.#shards.values()) {
      const held = hold.held.get(unit);
      if (held !== undefined && clock < hold.leaseEnd) {
        return held.epoch;
      }
    }
    return undefined;
  }

  #holdOf(shard: ShardId): ShardHold {
    let hold = this.#shards.get(shard);
    if (hold === undefined) {
      const maps = { held: new Map<UnitNumber, HeldUnit>(), highest: new Map<UnitNumber, Epoch>() };
      hold = { generation: 0, term: 0, leaseEnd: 0, lapseCount: 0, ...maps };
      this.#shards.set(shard, hold);
    }
    return hold;
  }

  #dropIfLapsed(hold: ShardHold, clock: Milliseconds): void {
    if (hold.held.size > 0 && clock >= hold.leaseEnd) {
      hold.held.clear();
      hold.lapseCount += 1;
    }
  }

  #findHold(token: FencingToken, clock: Milliseconds): HeldUnit | undefined {
    for (const hold of this.#shards.values()) {
      this.#dropIfLapsed(hold, clock);
      const held = hold.held.get(token.unit);
      if (held?.epoch === token.epoch) {
        return held;
      }
    }
    return undefined;
  }

  #checkToken(token: FencingToken, clock: Milliseconds): RequestRefusal | null {
    const held = this.#findHold(token, clock);
    return held === undefined || held.draining ? 'not-owner' : null;
  }

  #revoke(hold: ShardHold, { unit, epoch }: UnitEpoch): boolean {
    hold.highest.set(unit, Math.max(hold.highest.get(unit) ?? 0, epoch));
    const held = hold.held.get(unit);
    if (held === undefined) {
      return true;
    }
    held.draining = true;
    if (this.#running.has(unit)) {
      return false;
    }
    hold.held.delete(unit);
    return true;
  }

  #grant(hold: ShardHold, { unit, epoch }: UnitEpoch): boolean {
    const held = hold.held.get(unit);
    if (held?.epoch === epoch && !held.draining) {
      return true;
    }
    if (epoch <= (hold.highest.get(unit) ?? 0)) {
      return false;
    }
    hold.highest.set(unit, epoch);
    hold.held.set(unit, { epoch, draining: false });
    return true;
  }
}

function emptyReply(sequence: number, serverIncarnation: number, clock: Milliseconds): ControlReply {
  return {
    sequence,
    serverIncarnation,
    clock,
    refusal: null,
    lapseCount: 0,
    granted: [],
    staleGrants: [],
    revoked: [],
    inventory: null,
    draining: false,
  };
}

function isOlderLeader(request: ControlRequest, hold: ShardHold): boolean {
  const olderTerm = request.generation === hold.generation && request.term < hold.term;
  return request.generation < hold.generation || olderTerm;
}

function inventoryOf(hold: ShardHold): UnitEpoch[] {
  return [...hold.held].map(([unit, { epoch }]) => ({ unit, epoch }));
}
