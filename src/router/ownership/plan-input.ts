/** What an assignment is planned from. */
import type { ServerId, ServiceName } from '../model/identifiers.js';
import type { Room } from './move-value.js';
import type { KeyRate } from './key-load.js';
import type { Unit } from './ownership-table.js';

/** A server that takes units. */
export interface EligibleServer {
  readonly id: ServerId;
  readonly zone: string;
  readonly room: Room;
  /** It keeps what it has, and gets no more while another server can: it is cold. */
  readonly isCold: boolean;
}

/** What a plan for one service is made from. */
export interface PlanInput {
  readonly service: ServiceName;
  readonly servers: readonly EligibleServer[];
  /** Rates by key, in the order of keys. */
  readonly rates: readonly KeyRate[];
  /** How a unit may be moved now, or null while it must stay. */
  readonly mobility: (unit: Unit) => Mobility | null;
}

/** The server that must give a unit up before it goes on. */
export interface Mobility {
  readonly releasing: ServerId | null;
}
