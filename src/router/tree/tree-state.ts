/**
 * The propagation tree of daemons: the leader is the root, relays are its children, and the other daemons are children of the relays. A
 * child keeps one connection to its parent. Reports are sent up the tree; heartbeats, ownership and updates from the store are sent down.
 */
import type { Address } from '../model/address.js';
import type { DaemonName, Milliseconds } from '../model/identifiers.js';
import type { LoadWindow } from '../load-view/load-window.js';
import { REPORT_INTERVAL } from '../ownership/ownership-timing.js';
import type { DaemonLife, ServerTimes } from '../peers/messages.js';

import type { ProxyCandidate } from '../proxying/proxy-candidate.js';
import type { RestReport } from '../notices/back-off-reports.js';

/** A daemon that is connected to this one and reports to it. */
export interface Child extends DaemonLife {
  readonly address: Address;
  readonly zone: string;
  lastReportAt: Milliseconds;
  /** When the child sent its last report, by its own clock; 0: unknown. */
  reportSentAt: Milliseconds;
  /** Daemons in the child's subtree including itself, and those just redirected to it. */
  daemons: number;
  /** The child as a proxy; null: its software version doesn't say. */
  reach: ProxyCandidate | null;
  /** Proxies in the child's subtree. */
  proxies: ProxyCandidate[];
  /** Whether the child or one of its descendants needs proxies. */
  needsProxies: boolean;
  /** Daemons in the child's subtree that have lost their path to the servers of a service. */
  pathlessDaemons: number;
  /** Daemons in the child's subtree whose counts are in its reports; 0: its software version doesn't send them. */
  loadDaemons: number;
  /** The counts in the child's last reports, from which the leader computes the load of all daemons. */
  readonly loadWindow: LoadWindow;
  /** When the child was last sent the complete list of servers. */
  serversSentAt: Milliseconds;
  /** When the child was last sent a configuration. */
  configurationSentAt: Milliseconds;
}

/** Response times of a server as a child reported them. */
export interface ReceivedServerTimes extends Omit<ServerTimes, 'lastAnswerAge'> {
  readonly lastAnsweredAt: Milliseconds;
}

/** Time without a report after which a child is treated as unreachable. */
const CHILD_REPORT_TIMEOUT: Milliseconds = 4 * REPORT_INTERVAL;

/** Returns whether a child still reports. If a child's machine loses power, nothing closes its connection. */
export function isReporting({ lastReportAt }: Child, now: Milliseconds): boolean {
  return now - lastReportAt < CHILD_REPORT_TIMEOUT;
}

/** A daemon's position in the propagation tree, and the data for its next report. */
export interface TreeState {
  /** Address of the parent, or null for none. */
  parent: Address | null;
  /** When the daemon switched to the current parent. */
  parentSince: Milliseconds;
  /** The leader redirected this daemon to a relay, and no heartbeat has arrived directly from a leader since. */
  wasRedirected: boolean;
  /** When the parent last sent a heartbeat or redirected this daemon. */
  lastParentContactAt: Milliseconds;
  /** The time up to which the configuration and the servers are complete, by the heartbeats received. */
  parentConfirmedAt: Milliseconds;
  /** The same for the evacuated zones. */
  parentEvacuationsConfirmedAt: Milliseconds;
  /** Configuration and servers have been unconfirmed for longer than a change may take to be in force; this was logged. */
  updatesAreStale: boolean;
  /** Time until which a daemon that has left its relay waits for a heartbeat from the leader. */
  leaderGraceUntil: Milliseconds;
  /** Address of the last relay that didn't answer, or empty. */
  failedRelay: Address | '';
  /** Children of the parent that watch the store in addition to the parent; empty if the parent is a relay. */
  watchers: readonly DaemonName[];
  /** The children, by link number. */
  readonly children: Map<number, Child>;
  /** Daemons that have joined this subtree since the last report. */
  started: DaemonLife[];
  /** Response times of servers that children reported since the last report. */
  times: ReceivedServerTimes[];
  /** Key owners that asked this daemon or a descendant to back off, since the last report. */
  rests: RestReport[];
  /** A server that owns keys was overloaded since the last report. */
  overloaded: boolean;
  nextHeartbeatAt: Milliseconds;
}

/** Returns the position of a daemon that knows no other daemon. */
export function createTreeState(): TreeState {
  return {
    parent: null,
    parentSince: 0,
    wasRedirected: false,
    lastParentContactAt: Number.NEGATIVE_INFINITY,
    parentConfirmedAt: Number.NEGATIVE_INFINITY,
    parentEvacuationsConfirmedAt: Number.NEGATIVE_INFINITY,
    updatesAreStale: false,
    leaderGraceUntil: Number.NEGATIVE_INFINITY,
    failedRelay: '',
    watchers: [],
    children: new Map(),
    started: [],
    times: [],
    rests: [],
    overloaded: false,
    nextHeartbeatAt: 0,
  };
}

/** Returns the number of descendants of this daemon whose branch still reports. */
export function countDescendants({ children }: TreeState, now: Milliseconds): number {
  let daemons = 0;
  for (const child of children.values()) {
    daemons += isReporting(child, now) ? child.daemons : 0;
  }
  return daemons;
}

/** Returns the number of descendants that have lost their path to the servers of a service. */
export function countPathlessDescendants({ children }: TreeState, now: Milliseconds): number {
  let daemons = 0;
  for (const child of children.values()) {
    daemons += isReporting(child, now) ? child.pathlessDaemons : 0;
  }
  return daemons;
}

/** Returns whether the parent is a relay, and not the leader with the given address. */
export function hasRelayParent({ parent }: TreeState, leaderAddress: Address | undefined): boolean {
  return parent !== null && parent !== leaderAddress;
}
