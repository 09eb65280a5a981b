/**
 * The tree of daemons: the leader at the root, relays below it, the others below the relays. A child holds one connection
 * to its parent; reports go up, heartbeats, ownership and news of the store go down.
 */
import type { DaemonName, Milliseconds } from '../model/identifiers.js';
import { REPORT_INTERVAL } from '../ownership/ownership-timing.js';
import type { DaemonLife, ServerTimes } from '../peers/messages.js';
import type { RestReport } from '../notices/rest-reports.js';

/** A daemon that is connected to this one and reports to it. */
export interface Child extends DaemonLife {
  readonly address: string;
  readonly zone: string;
  lastReportAt: Milliseconds;
  /** Daemons at and below it, those included that were just sent there. */
  daemons: number;
  /** When it was last sent the whole list of servers, and a configuration. */
  serversSentAt: Milliseconds;
  configurationSentAt: Milliseconds;
}

/** A child that has not reported for this long is not counted on. */
const CHILD_PATIENCE: Milliseconds = 4 * REPORT_INTERVAL;

/** Whether a child still reports. Nothing ends the connection of one whose machine has lost power. */
export function isReporting({ lastReportAt }: Child, now: Milliseconds): boolean {
  return now - lastReportAt < CHILD_PATIENCE;
}

/** A daemon's place in the tree. */
export interface TreeState {
  /** Address of the parent, or null for none. */
  parent: string | null;
  followedSince: Milliseconds;
  /** The leader sent this daemon to a relay, and has not been heard directly since. */
  wasRelayed: boolean;
  /** When the parent last said anything. */
  parentHeardAt: Milliseconds;
  /** When the store confirmed what the parent knows, as far as it has told. */
  newsConfirmedAt: Milliseconds;
  /** News are older than changes may take to be in force; said in the log. */
  newsAreOld: boolean;
  /** After it left a relay, the daemon gives the leader until then to be heard. */
  leaderGraceUntil: Milliseconds;
  /** The last relay that did not answer, or empty. */
  failedRelay: string;
  /** Children of the parent that follow the store beside it. */
  watchers: readonly DaemonName[];
  readonly children: Map<number, Child>;
  /** Not yet told to the parent: daemons that have joined below, and times of servers that they told. */
  started: DaemonLife[];
  times: ServerTimes[];
  /** Not yet told: owners that asked for rest, here and below. */
  rests: RestReport[];
  /** Not yet told to the parent: an owner of keys has too much to do. */
  overloaded: boolean;
  nextHeartbeatAt: Milliseconds;
}

/** The place of a daemon that knows nobody. */
export function createTree(): TreeState {
  return {
    parent: null,
    followedSince: 0,
    wasRelayed: false,
    parentHeardAt: Number.NEGATIVE_INFINITY,
    newsConfirmedAt: Number.NEGATIVE_INFINITY,
    newsAreOld: false,
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

/** Daemons below this one that report. */
export function daemonsBelow({ children }: TreeState, now: Milliseconds): number {
  let daemons = 0;
  for (const child of children.values()) {
    daemons += isReporting(child, now) ? child.daemons : 0;
  }
  return daemons;
}

/** Whether the parent is a relay and not the leader, whose address is given. */
export function isRelayed({ parent }: TreeState, leaderAddress: string | undefined): boolean {
  return parent !== null && parent !== leaderAddress;
}
