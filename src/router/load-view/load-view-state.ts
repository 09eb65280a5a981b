/** The part of a daemon's state that holds the load view. */
import type { Milliseconds, ServiceName } from '../model/identifiers.js';
import type { CountsByService } from './load-counts.js';
import type { LoadSummary } from './load-summary.js';
import { FLEET_WINDOW, LoadWindow } from './load-window.js';
import { OwnLoad } from './own-load.js';
import { WorkTimes } from './work-times.js';

/** The load of a service over all daemons. */
export interface FleetLoad {
  readonly summary: LoadSummary;
  /** When the leader computed it, by this daemon's clock. */
  readonly computedAt: Milliseconds;
}

export interface LoadViewState {
  /** Balanced services of which a server has reported its load to this daemon. */
  readonly reportingServices: Set<ServiceName>;
  readonly own: OwnLoad;
  readonly workTimes: WorkTimes;
  /** Counts of this daemon, and of its subtree unless it is the leader, since the last report. */
  unreported: CountsByService;
  /** This daemon's own counts while it is the leader. */
  readonly leaderWindow: LoadWindow;
  /** When the last report was sent, or at the leader, when its own counts were last added to its window. */
  reportedAt: Milliseconds;
  /** This daemon or a descendant has seen demand rise since the last report. */
  hasDemandRisen: boolean;
  /** As computed by the leader: this daemon or the one that the heartbeats come from. */
  fleet: Map<ServiceName, FleetLoad>;
  /** What the leader last sent to all of its children. */
  announced: Map<ServiceName, FleetLoad>;
  announcedAt: Milliseconds;
  /** Services of which the log already has a malformed load. */
  readonly loggedMalformed: Set<ServiceName>;
}

export function createLoadViewState(): LoadViewState {
  return {
    reportingServices: new Set(),
    own: new OwnLoad(),
    workTimes: new WorkTimes(),
    unreported: new Map(),
    leaderWindow: new LoadWindow(FLEET_WINDOW),
    reportedAt: Number.NEGATIVE_INFINITY,
    hasDemandRisen: false,
    fleet: new Map(),
    announced: new Map(),
    announcedAt: Number.NEGATIVE_INFINITY,
    loggedMalformed: new Set(),
  };
}
