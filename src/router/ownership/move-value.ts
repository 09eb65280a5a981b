/**
 * What load costs at a server and what a move of keys costs, in requests: the plan compares the two. A move pays
 * only when it saves more than it costs while the load can be trusted to last.
 */
import { LAST_KEY, type Milliseconds } from '../model/identifiers.js';

/** Below this utilisation requests hardly wait for each other. */
const CALM_UTILISATION = 0.5;
/** Load is trusted to stay as it was seen for this long; hot keys change after a few seconds. */
const TRUSTED_TIME: Milliseconds = 3_000;
/** Requests for keys that move have no owner for about this long: the work on them ends first. */
const MOVE_TIME: Milliseconds = 120;
const MILLISECONDS_PER_SECOND = 1_000;
/** What moving every key once costs, in requests: owners keep state by key, and warm up without it. */
const ALL_KEYS_COST = 150;
/** Calls to two servers, a write to the store and a view for every daemon, in requests. */
const CALLS_COST = 0.5;
/** Rates and capacities are estimates: a move must save this many times what it costs. */
const SURE_FACTOR = 1.5;

/** Below this part of a limit nearly all requests find a place, though they come by chance. */
const CALM_LIMIT_PART = 0.8;

/** What a server can do, in requests a second. */
export interface Room {
  /** What it can answer. */
  readonly capacity: number;
  /** What it takes, as it has said itself; without bound if it hasn't. */
  readonly limit: number;
}

/** Requests a second that a server does, whatever bounds it. */
export function usableRate({ capacity, limit }: Room): number {
  return Math.min(capacity, limit);
}

/** Requests a second that are lost or late at a server with a load in requests a second. */
export function lossRate(load: number, { capacity, limit }: Room): number {
  return Math.max(crowdLoss(load, capacity), load - limit * CALM_LIMIT_PART);
}

/** None while a server is calm, ever more towards its capacity, each further request beyond it. */
function crowdLoss(load: number, capacity: number): number {
  const utilisation = load / capacity;
  if (utilisation <= CALM_UTILISATION) {
    return 0;
  }
  const crowded = Math.min(utilisation, 1) - CALM_UTILISATION;
  const waiting = (crowded * crowded) / (2 * (1 - CALM_UTILISATION));
  return capacity * (waiting + Math.max(0, utilisation - 1));
}

/** A server as far as a move is concerned. */
export interface LoadedServer {
  readonly load: number;
  readonly room: Room;
}

/** A move of keys that is weighed. */
export interface WeighedMove {
  readonly from: LoadedServer;
  readonly to: LoadedServer;
  /** Requests a second for the keys. */
  readonly rate: number;
  /** How many keys move. */
  readonly keys: number;
}

/** Requests that a move saves while the load lasts. */
function savedRequests({ from, to, rate }: WeighedMove): number {
  const before = lossRate(from.load, from.room) + lossRate(to.load, to.room);
  const after = lossRate(from.load - rate, from.room) + lossRate(to.load + rate, to.room);
  return ((before - after) * TRUSTED_TIME) / MILLISECONDS_PER_SECOND;
}

/** Requests that a move costs. */
function moveCost({ rate, keys }: WeighedMove): number {
  const unserved = (rate * MOVE_TIME) / MILLISECONDS_PER_SECOND;
  return CALLS_COST + unserved + (ALL_KEYS_COST * keys) / (LAST_KEY + 1);
}

/** Requests that a move saves beyond what it costs, with room for error. A move that is not positive is not made. */
export function moveValue(move: WeighedMove): number {
  return savedRequests(move) - SURE_FACTOR * moveCost(move);
}
