/** The parts of reports and heartbeats that carry the load view, and their validation. Pure. Mirrors proto/router.proto. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import { demandOf, groupOf, createLoadCounts, type LoadCounts } from './load-counts.js';
import type { LoadSummary } from './load-summary.js';

/** The counts of a subtree for one service, sent up the propagation tree. */
export interface ReportedServiceLoad {
  readonly service: ServiceName;
  readonly demands: {
    readonly priority: number;
    readonly requests: number;
    readonly answered: number;
    readonly workTime: Milliseconds;
  }[];
  readonly groups: {
    readonly reserved: boolean;
    readonly readings: number;
    readonly load: number;
    readonly slots: number;
  }[];
  /** The time that the counts cover. */
  readonly span: Milliseconds;
}

/** The load of one service over all daemons, sent down the propagation tree. */
export interface AnnouncedServiceLoad {
  readonly service: ServiceName;
  readonly demands: { readonly priority: number; readonly slots: number }[];
  readonly groups: { readonly reserved: boolean; readonly meanLoad: number }[];
  /** Time since the leader computed it. */
  readonly age: Milliseconds;
}

/** Larger numbers are malformed. A negative count is read as one above 4 thousand million. */
const MAX_NUMBER = 1_000_000_000;

function isReadable(value: number): boolean {
  return Number.isFinite(value) && value >= 0 && value <= MAX_NUMBER;
}

function areReadable(...values: number[]): boolean {
  return values.every(isReadable);
}

/** Returns the message for the counts of a service. */
export function toReportedLoad(
  service: ServiceName,
  { demands, groups }: LoadCounts,
  span: Milliseconds,
): ReportedServiceLoad {
  return {
    service,
    demands: [...demands].map(([priority, { requests, answered, workTime }]) => ({
      priority,
      requests,
      answered,
      workTime: Math.round(workTime),
    })),
    groups: [...groups].map(([reserved, counts]) => ({ reserved, ...counts })),
    span: Math.round(span),
  };
}

/** Returns the counts in a message, or null if a number in it is malformed. */
export function readReportedLoad({ demands, groups, span }: ReportedServiceLoad): LoadCounts | null {
  const counts = createLoadCounts();
  let isValid = areReadable(span);
  for (const { priority, requests, answered, workTime } of demands) {
    isValid &&= areReadable(priority, requests, answered, workTime);
    Object.assign(demandOf(counts, priority), { requests, answered, workTime });
  }
  for (const { reserved, readings, load, slots } of groups) {
    isValid &&= areReadable(readings, load, slots);
    Object.assign(groupOf(counts, reserved), { readings, load, slots });
  }
  return isValid ? counts : null;
}

/** Returns the message for a summary. */
export function toAnnouncedLoad(
  service: ServiceName,
  { demandSlots, meanLoads }: LoadSummary,
  age: Milliseconds,
): AnnouncedServiceLoad {
  return {
    service,
    demands: [...demandSlots].map(([priority, slots]) => ({ priority, slots })),
    groups: [...meanLoads].map(([reserved, meanLoad]) => ({ reserved, meanLoad })),
    age: Math.round(age),
  };
}

/** Returns the summary in a message, or null if a number in it is malformed. */
export function readAnnouncedLoad({ demands, groups, age }: AnnouncedServiceLoad): LoadSummary | null {
  const isValid =
    areReadable(age) &&
    demands.every(({ priority, slots }) => areReadable(priority, slots)) &&
    groups.every(({ meanLoad }) => areReadable(meanLoad));
  if (!isValid) {
    return null;
  }
  return {
    demandSlots: new Map(demands.map(({ priority, slots }) => [priority, slots])),
    meanLoads: new Map(groups.map(({ reserved, meanLoad }) => [reserved, meanLoad])),
  };
}
