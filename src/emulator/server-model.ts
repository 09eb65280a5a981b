/**
 * A pure model of a server that accepts fenced grants, shared by the emulated server processes and the
 * simulation. The model judges leases by the server's own clock only.
 */
import type { FencingToken } from '../core/effects.js';
import type { Epoch, Milliseconds, ShardId, UnitNumber } from '../core/identifiers.js';
import type { ControlReply, ControlRequest, UnitEpoch } from '../core/server-control.js';

interface HeldUnit {
  readonly epoch: Epoch;
  /** The unit was revoked while requests were running: no new requests are admitted. */
  draining: boolean;
}

interface ShardState {
  generation: number;
  term: number;
  leaseEnd: Milliseconds;
  lapseCount: number;
  readonly heldUnits: Map<UnitNumber, HeldUnit>;
  /** Highest epoch of each unit that was granted or revoked. */
  readonly highestEpochs: Map<UnitNumber, Epoch>;
}

/** Reason why a server refuses a request. */
export type RequestRefusal = 'not-owner' | 'lease-lapsed' | 'leaving' | 'overloaded';

/** The grants, leases and running requests of one server. */
export class ServerModel {
  readonly incarnation: number;
  draining = false;
  readonly #shards = new Map<ShardId, ShardState>();
  readonly #running = new Map<UnitNumber, number>();

  constructor(incarnation: number) {
    this.incarnation = incarnation;
  }

  /** Handles a leader's control request; `clock` is the server's own clock. */
  control(request: ControlRequest, clock: Milliseconds): ControlReply {
    const reply = { ...emptyReply(request.sequence, this.incarnation, clock), draining: this.draining };
    if (request.serverIncarnation !== 0 && request.serverIncarnation !== this.incarnation) {
      return { ...reply, refusal: 'other-incarnation' };
    }
    const shardState = this.#shardStateOf(request.shard);
    if (isOlderLeader(request, shardState)) {
      return { ...reply, refusal: 'older-leader' };
    }
    shardState.generation = request.generation;
    shardState.term = request.term;
    this.#dropUnitsIfLeaseLapsed(shardState, clock);
    const { lapseCount } = shardState;
    const leaseEnd = request.stamp === null ? 0 : request.stamp + request.leaseMilliseconds;
    shardState.leaseEnd = Math.max(shardState.leaseEnd, leaseEnd);
    const revoked = request.revokes.filter((revoke) => this.#revoke(shardState, revoke));
    // Grants of a request whose lease has already expired are ignored: the leader may have granted the units
    // to others since.
    const grants = leaseEnd > clock ? request.grants : [];
    const granted = grants.filter((grant) => this.#grant(shardState, grant));
    const staleGrants = grants.filter((grant) => !granted.includes(grant));
    const inventory = request.wantInventory ? inventoryOf(shardState) : null;
    return { ...reply, lapseCount, granted, staleGrants, revoked, inventory };
  }

  /** Admits a request, which then counts as running until `finish`, or returns the reason for the refusal. */
  admit(token: FencingToken | null, clock: Milliseconds): RequestRefusal | null {
    if (token === null) {
      return this.draining ? 'leaving' : null;
    }
    const refusal = this.#checkToken(token, clock);
    if (refusal === null) {
      this.#running.set(token.unit, (this.#running.get(token.unit) ?? 0) + 1);
    }
    return refusal;
  }

  /**
   * Returns whether an admitted request may still take effect: its unit must still be held at the token's
   * epoch.
   */
  mayTakeEffect(token: FencingToken | null, clock: Milliseconds): boolean {
    return token === null || this.#findHeldUnit(token, clock) !== undefined;
  }

  /** Records that an admitted request has ended. */
  finish(token: FencingToken | null): void {
    if (token === null) {
      return;
    }
    const remaining = (this.#running.get(token.unit) ?? 1) - 1;
    if (remaining > 0) {
      this.#running.set(token.unit, remaining);
    } else {
      this.#running.delete(token.unit);
    }
  }

  /**
   * Returns the units held under a valid lease, including units that are draining; `clock` is the server's
   * own clock.
   */
  ownedUnits(clock: Milliseconds): UnitEpoch[] {
    return [...this.#shards.values()]
      .filter((shardState) => clock < shardState.leaseEnd)
      .flatMap(inventoryOf);
  }

  /** Returns the epoch at which a unit is held under a valid lease, or undefined. */
  ownedEpoch(unit: UnitNumber, clock: Milliseconds): Epoch | undefined {
    for (const shardState of this.#shards.values()) {
      const held = shardState.heldUnits.get(unit);
      if (held !== undefined && clock < shardState.leaseEnd) {
        return held.epoch;
      }
    }
    return undefined;
  }

  #shardStateOf(shard: ShardId): ShardState {
    let shardState = this.#shards.get(shard);
    if (shardState === undefined) {
      const maps = {
        heldUnits: new Map<UnitNumber, HeldUnit>(),
        highestEpochs: new Map<UnitNumber, Epoch>(),
      };
      shardState = { generation: 0, term: 0, leaseEnd: 0, lapseCount: 0, ...maps };
      this.#shards.set(shard, shardState);
    }
    return shardState;
  }

  #dropUnitsIfLeaseLapsed(shardState: ShardState, clock: Milliseconds): void {
    if (shardState.heldUnits.size > 0 && clock >= shardState.leaseEnd) {
      shardState.heldUnits.clear();
      shardState.lapseCount += 1;
    }
  }

  #findHeldUnit(token: FencingToken, clock: Milliseconds): HeldUnit | undefined {
    for (const shardState of this.#shards.values()) {
      this.#dropUnitsIfLeaseLapsed(shardState, clock);
      const held = shardState.heldUnits.get(token.unit);
      if (held?.epoch === token.epoch) {
        return held;
      }
    }
    return undefined;
  }

  #checkToken(token: FencingToken, clock: Milliseconds): RequestRefusal | null {
    const held = this.#findHeldUnit(token, clock);
    return held === undefined || held.draining ? 'not-owner' : null;
  }

  #revoke(shardState: ShardState, { unit, epoch }: UnitEpoch): boolean {
    shardState.highestEpochs.set(unit, Math.max(shardState.highestEpochs.get(unit) ?? 0, epoch));
    const held = shardState.heldUnits.get(unit);
    if (held === undefined) {
      return true;
    }
    held.draining = true;
    if (this.#running.has(unit)) {
      return false;
    }
    shardState.heldUnits.delete(unit);
    return true;
  }

  #grant(shardState: ShardState, { unit, epoch }: UnitEpoch): boolean {
    const held = shardState.heldUnits.get(unit);
    if (held?.epoch === epoch && !held.draining) {
      return true;
    }
    if (epoch <= (shardState.highestEpochs.get(unit) ?? 0)) {
      return false;
    }
    shardState.highestEpochs.set(unit, epoch);
    shardState.heldUnits.set(unit, { epoch, draining: false });
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

function isOlderLeader(request: ControlRequest, shardState: ShardState): boolean {
  const olderTerm = request.generation === shardState.generation && request.term < shardState.term;
  return request.generation < shardState.generation || olderTerm;
}

function inventoryOf(shardState: ShardState): UnitEpoch[] {
  return [...shardState.heldUnits].map(([unit, { epoch }]) => ({ unit, epoch }));
}
