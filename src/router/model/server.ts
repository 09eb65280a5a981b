/** One life of a server, as the platform's list describes it. Immutable. */
import type { Milliseconds, ServerId, ServiceName } from './identifiers.js';

/** A server that takes requests, or is about to leave. */
export interface ServerDescription {
  readonly id: ServerId;
  readonly service: ServiceName;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** It gets no new work. */
  readonly draining: boolean;
  /** How much longer it is slow after its start, when the entry was written. */
  readonly warmupLeft: Milliseconds;
  /** Grows with every entry made in the list. */
  readonly listedAt: number;
  /** Revision of the entry: rises with every change of it. */
  readonly revision: number;
}
