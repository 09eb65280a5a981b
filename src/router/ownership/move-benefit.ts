/**
 * Costs, in requests, of the load on a server and of moving keys. A move is worthwhile only if it saves more
 * than it costs for as long as the load is expected to last.
 */
import { LAST_KEY, type Milliseconds } from '../model/identifiers.js';

/** Below this utilisation, requests hardly queue. */
const QUEUEING_THRESHOLD = 0.5;
/** Load is expected to stay as observed for this long; hot keys change after a few seconds. */
const EXPECTED_LOAD_DURATION: Milliseconds = 3_000;
/**
 * Keys that move have no owner for about this long, since the requests in progress for them must end first.
 */
const MOVE_UNAVAILABILITY: Milliseconds = 120;
const MILLISECONDS_PER_SECOND = 1_000;
/** Cost in requests of moving every key once: owners keep state per key, and must warm up without it. */
const FULL_KEY_SPACE_MOVE_COST = 150;
/** Cost in requests of the calls to two servers, a write to the store and a view update for every daemon. */
const MOVE_COORDINATION_COST = 0.5;
/**
 * Cost in requests of one more unit, which needs a renewal every 0.85 s. Higher values leave busy owners as they are: 1 gave 1.8 units for
 * each of 83 servers and lost a quarter more requests (test-plan-replay.ts).
 */
const UNIT_COST = 0.2;
/** Rates and capacities are estimates, so a move must save this many times its cost. */
const REQUIRED_BENEFIT_FACTOR = 1.5;

/** Larger than the rounding errors of sums of losses, in requests. */
const ROUNDING_MARGIN = 1e-6;

/** Below this share of a rate limit, nearly all requests get a permit although they arrive at random. */
const USABLE_LIMIT_SHARE = 0.8;

/** Requests per second that a server can process. */
export interface ServerThroughput {
  /** Requests per second that the server can answer. */
  readonly capacity: number;
  /** Rate limit that the server has announced; infinite if there is none. */
  readonly limit: number;
}

/** Returns the requests per second that a server can process within its capacity and its rate limit. */
export function usableRate({ capacity, limit }: ServerThroughput): number {
  return Math.min(capacity, limit);
}

/**
 * Returns the requests per second that are lost or late at a server with the given load, also in requests per
 * second.
 */
export function lossRate(load: number, { capacity, limit }: ServerThroughput): number {
  return Math.max(queueingLoss(load, capacity), load - limit * USABLE_LIMIT_SHARE);
}

/**
 * Returns the loss from queueing: none below the threshold, increasing towards the capacity of the server,
 * and each further request beyond it.
 */
function queueingLoss(load: number, capacity: number): number {
  const utilisation = load / capacity;
  if (utilisation <= QUEUEING_THRESHOLD) {
    return 0;
  }
  const excessUtilisation = Math.min(utilisation, 1) - QUEUEING_THRESHOLD;
  const queueing = (excessUtilisation * excessUtilisation) / (2 * (1 - QUEUEING_THRESHOLD));
  return capacity * (queueing + Math.max(0, utilisation - 1));
}

/** Load and throughput of a server that takes part in a move. */
export interface LoadedServer {
  readonly load: number;
  readonly throughput: ServerThroughput;
}

/** A move of keys to be evaluated. */
export interface CandidateMove {
  readonly from: LoadedServer;
  readonly to: LoadedServer;
  /** Requests per second for the keys that move. */
  readonly rate: number;
  /** Number of keys that move. */
  readonly keys: number;
}

/** Returns the requests that a move saves while the load lasts. */
function savedRequests({ from, to, rate }: CandidateMove): number {
  const before = lossRate(from.load, from.throughput) + lossRate(to.load, to.throughput);
  const after = lossRate(from.load - rate, from.throughput) + lossRate(to.load + rate, to.throughput);
  return ((before - after) * EXPECTED_LOAD_DURATION) / MILLISECONDS_PER_SECOND;
}

/** Returns the cost of a move in requests. */
function moveCost({ rate, keys }: Pick<CandidateMove, 'rate' | 'keys'>): number {
  const unserved = (rate * MOVE_UNAVAILABILITY) / MILLISECONDS_PER_SECOND;
  return MOVE_COORDINATION_COST + unserved + (FULL_KEY_SPACE_MOVE_COST * keys) / (LAST_KEY + 1);
}

/**
 * Returns the requests that a move saves beyond its cost, with a margin for estimation errors. A move without
 * a positive benefit is not made.
 */
export function netBenefitOfMove(move: CandidateMove): number {
  return savedRequests(move) - REQUIRED_BENEFIT_FACTOR * moveCost(move);
}

/**
 * Returns the cost in requests of one more unit of a service. It rises from nothing at one unit per server to the full cost at two: with the
 * full cost at any number, the keys of servers that reject every request moved too late in a small deployment.
 */
export function costOfUnit(units: number, servers: number): number {
  return UNIT_COST * Math.min(1, Math.max(0, units / servers - 1));
}

/** Evaluates many moves off one server. */
export class MoveEvaluation {
  readonly #from: LoadedServer;
  readonly #fromLoss: number;

  constructor(from: LoadedServer) {
    this.#from = from;
    this.#fromLoss = lossRate(from.load, from.throughput);
  }

  netBenefit(to: LoadedServer, rate: number, keys: number): number {
    return netBenefitOfMove({ from: this.#from, to, rate, keys });
  }

  /** Returns a bound of the net benefit for any target: the load that a target takes on never reduces its loss. */
  maxBenefit(rate: number, keys: number): number {
    const { load, throughput } = this.#from;
    const saved = this.#fromLoss - lossRate(load - rate, throughput);
    const benefit = (saved * EXPECTED_LOAD_DURATION) / MILLISECONDS_PER_SECOND;
    return benefit - REQUIRED_BENEFIT_FACTOR * moveCost({ rate, keys }) + ROUNDING_MARGIN;
  }
}
