/** What daemons have counted for one service over some time. Pure; counts of several daemons add up. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';

/** Requests of one priority. */
export interface DemandCounts {
  /** Requests that arrived from callers. */
  requests: number;
  /** Answers to requests that found a free slot, and their total duration. */
  answered: number;
  workTime: Milliseconds;
}

/** Load reports of the servers of one group. */
export interface GroupCounts {
  readings: number;
  /** Sum of the requests, running and waiting, in all these reports. */
  load: number;
  /** Sum of the slots in all these reports. */
  slots: number;
}

export interface LoadCounts {
  /** By priority. */
  readonly demands: Map<number, DemandCounts>;
  /** By whether the servers are reserved. */
  readonly groups: Map<boolean, GroupCounts>;
}

export type CountsByService = Map<ServiceName, LoadCounts>;

export function createLoadCounts(): LoadCounts {
  return { demands: new Map(), groups: new Map() };
}

/** Returns the counts of a service; adds them when there are none. */
export function countsOf(counts: CountsByService, service: ServiceName): LoadCounts {
  let found = counts.get(service);
  if (found === undefined) {
    found = createLoadCounts();
    counts.set(service, found);
  }
  return found;
}

/** Returns the counts of a priority; adds them when there are none. */
export function demandOf({ demands }: LoadCounts, priority: number): DemandCounts {
  let found = demands.get(priority);
  if (found === undefined) {
    found = { requests: 0, answered: 0, workTime: 0 };
    demands.set(priority, found);
  }
  return found;
}

/** Returns the counts of a group of servers; adds them when there are none. */
export function groupOf({ groups }: LoadCounts, isReserved: boolean): GroupCounts {
  let found = groups.get(isReserved);
  if (found === undefined) {
    found = { readings: 0, load: 0, slots: 0 };
    groups.set(isReserved, found);
  }
  return found;
}

/** Adds counts, multiplied by a factor, to others. */
export function addLoadCounts(target: LoadCounts, added: LoadCounts, factor = 1): void {
  for (const [priority, { requests, answered, workTime }] of added.demands) {
    const demand = demandOf(target, priority);
    demand.requests += requests * factor;
    demand.answered += answered * factor;
    demand.workTime += workTime * factor;
  }
  for (const [isReserved, { readings, load, slots }] of added.groups) {
    const group = groupOf(target, isReserved);
    group.readings += readings * factor;
    group.load += load * factor;
    group.slots += slots * factor;
  }
}

/** Adds the counts of all services to others. */
export function addAllLoadCounts(target: CountsByService, added: CountsByService): void {
  added.forEach((counts, service) => addLoadCounts(countsOf(target, service), counts));
}
