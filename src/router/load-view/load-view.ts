/** The load on a balanced service, as all daemons together or only this one see it. docs/load-control.md describes it. */

export interface ServiceLoadView {
  /** `fleet`: from the reports of all daemons; `own`: from this daemon's observations only. */
  readonly source: 'fleet' | 'own';
  /** Priorities that have demand, the most urgent first. */
  readonly priorities: readonly number[];
  /** Returns how many slots the requests of a priority keep busy: requests a second times their work time in seconds. */
  demandSlots(priority: number): number;
  /** Returns the mean number of requests, running and waiting, at a server of the reserved or the shared group; null: unknown. */
  meanLoad(isReserved: boolean): number | null;
}

/** The view of a service that nobody has observed. */
export const UNKNOWN_LOAD: ServiceLoadView = {
  source: 'own',
  priorities: [],
  demandSlots: () => 0,
  meanLoad: () => null,
};
