/** Input of the assignment plan. */
import type { ServerId, ServiceName } from '../model/identifiers.js';
import type { ServerThroughput } from './move-benefit.js';
import type { KeyRate } from './key-load.js';
import type { Unit } from './ownership-table.js';

/** A server that may own units. */
export interface EligibleServer {
  readonly id: ServerId;
  readonly zone: string;
  readonly throughput: ServerThroughput;
  /** The server is warming up: it keeps its units, and gets no more while another server can take them. */
  readonly isCold: boolean;
  /**
   * The server keeps its units, and gets no more: it is out of the leader's reach, but answers other daemons, has not confirmed the
   * release of units that it lost, or has never answered anybody.
   */
  readonly keepsOnlyItsUnits: boolean;
}

/** Input of the plan for one service. */
export interface PlanInput {
  readonly service: ServiceName;
  readonly servers: readonly EligibleServer[];
  /** Request rates by key, in key order. */
  readonly rates: readonly KeyRate[];
  /** Whether units of cooled ranges are rejoined also when nothing else changes. */
  readonly isRejoiningDue: boolean;
  /** Returns the permission to move a unit now, or null while the unit must stay. */
  readonly movePermission: (unit: Unit) => MovePermission | null;
}

/** The former owner that must release a unit before its next owner is granted it; null if there is none. */
export interface MovePermission {
  readonly releasing: ServerId | null;
}
