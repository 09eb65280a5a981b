/** One incarnation of a server as the platform's list describes it. Immutable. */
import type { Address } from './address.js';
import type { Milliseconds, ServerId, ServiceName } from './identifiers.js';

/** A server that accepts requests or is draining. */
export interface ServerDescription {
  readonly id: ServerId;
  readonly service: ServiceName;
  readonly address: Address;
  readonly zone: string;
  /** Number of requests that the server processes at once. */
  readonly slots: number;
  /** Whether the server is draining: it gets no new work. */
  readonly draining: boolean;
  /** Remaining warm-up time at the moment when the entry was written. */
  readonly warmupLeft: Milliseconds;
  /** Increases with every entry that is added to the list. */
  readonly listedAt: number;
  /** Revision of the entry, which increases with every change of the entry. */
  readonly revision: number;
}
