/**
 * The held requests of one service that wait for a server with room, in the order in which they are dispatched: by priority, then those
 * that can still be answered within their latency objective, then by the end of their objective. Among requests of one route this is the
 * order of arrival, unless some of them can't be in time any more.
 */
import type { Milliseconds } from '../model/identifiers.js';

/**
 * Maximum number of requests that wait for room at one service of one daemon. A daemon that sends a request every 2 ms fills it within the
 * hold time of an objective of 0.6 s; what is beyond it would not find room before its hold time ends.
 */
export const MAX_HELD_REQUESTS = 64;

/** What the order depends on. */
export interface HoldableRequest {
  readonly id: number;
  readonly arrivedAt: Milliseconds;
  /** Its arrival, or the later time for which its caller was told to return. */
  readonly turnAt: Milliseconds;
  readonly route: { readonly priority: number; readonly latencyObjective: Milliseconds };
}

/** The times by which the order is decided. */
export interface OrderingTimes<Request> {
  readonly now: Milliseconds;
  /** Returns the lowest expected response time of the servers that a request may go to. */
  readonly responseTimeOf: (request: Request) => Milliseconds;
}

/** The place of a request in the order. */
interface Rank {
  readonly priority: number;
  readonly isLate: boolean;
  /** End of the objective, counted from the request's turn. */
  readonly objectiveEnd: Milliseconds;
  readonly id: number;
}

/** Returns the place of a request in the order, as things are now. */
export function rankOf<Request extends HoldableRequest>(
  request: Request,
  { now, responseTimeOf }: OrderingTimes<Request>,
): Rank {
  const { id, arrivedAt, turnAt, route } = request;
  const isLate = now + responseTimeOf(request) > arrivedAt + route.latencyObjective;
  return { priority: route.priority, isLate, objectiveEnd: turnAt + route.latencyObjective, id };
}

/** Compares two ranks; negative: the first one's request is dispatched first. */
export function compareRanks(first: Rank, second: Rank): number {
  return (
    first.priority - second.priority ||
    Number(first.isLate) - Number(second.isLate) ||
    first.objectiveEnd - second.objectiveEnd ||
    first.id - second.id
  );
}

/**
 * Returns whether a request that found no room shows that another one has to wait, too. It does for a less urgent priority, which must not
 * take the next free place. Within one priority it does only for an objective that is at most as long: a longer one permits a longer queue.
 */
export function blocks(withoutRoom: HoldableRequest, other: HoldableRequest): boolean {
  const [first, second] = [withoutRoom.route, other.route];
  return (
    first.priority < second.priority ||
    (first.priority === second.priority && second.latencyObjective <= first.latencyObjective)
  );
}

/** A bounded priority queue. The order is computed anew for each use, since whether a request can be in time changes with the load. */
export class HeldRequests<Request extends HoldableRequest> {
  readonly #requests = new Map<number, Request>();

  get size(): number {
    return this.#requests.size;
  }

  has({ id }: HoldableRequest): boolean {
    return this.#requests.has(id);
  }

  /** Adds a request. Returns the request that has no place now, the last one in the order; null: all have one. */
  add(request: Request, times: OrderingTimes<Request>): Request | null {
    this.#requests.set(request.id, request);
    if (this.#requests.size <= MAX_HELD_REQUESTS) {
      return null;
    }
    const last = this.inOrder(times).at(-1) ?? request;
    this.remove(last);
    return last;
  }

  remove({ id }: HoldableRequest): void {
    this.#requests.delete(id);
  }

  /** Returns the requests, most urgent first. */
  inOrder(times: OrderingTimes<Request>): Request[] {
    const ranked = [...this.#requests.values()].map((request) => ({ request, rank: rankOf(request, times) }));
    ranked.sort((first, second) => compareRanks(first.rank, second.rank));
    return ranked.map(({ request }) => request);
  }

  /** Returns the requests in no particular order. */
  values(): Iterable<Request> {
    return this.#requests.values();
  }
}
