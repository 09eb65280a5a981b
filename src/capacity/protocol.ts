/**
 * What the capacity tool and its worker processes tell each other.
 */
import type { ReadObjectEffect, WriteObjectEffect } from '../core/effects.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../core/events.js';

/** One measured set-up. */
export interface Shape {
  readonly daemons: number;
  readonly shards: number;
  readonly units: number;
  readonly servers: number;
  /** Real seconds for each second of the daemons' clocks: above 1 where one machine is too slow for all. */
  readonly timeScale: number;
  /** Configuration changes a second during the measurement. */
  readonly configurationChangesPerSecond: number;
  /** Moves of units a second during the measurement. */
  readonly movesPerSecond: number;
}

/** Sent to a worker. */
export type ToWorker =
  | {
      readonly kind: 'start';
      readonly shape: Shape;
      readonly process: number;
      readonly processes: number;
    }
  | { readonly kind: 'ports'; readonly ports: readonly number[] }
  | { readonly kind: 'objectRead'; readonly daemon: number; readonly event: ObjectReadEvent }
  | { readonly kind: 'objectWritten'; readonly daemon: number; readonly event: ObjectWrittenEvent }
  | { readonly kind: 'move'; readonly unit: number; readonly target: string }
  | { readonly kind: 'begin' }
  | { readonly kind: 'end' };

/** Traffic and time of one kind. */
export interface KindFigures {
  messages: number;
  bytes: number;
  /** Time in the reducer, the codec and the socket, in milliseconds. */
  milliseconds: number;
}

/** What a worker measured. */
export interface WorkerFigures {
  readonly daemons: number;
  readonly cpuMilliseconds: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  /** Sent, by message kind; received time is under `receive:<kind>`. */
  readonly kinds: Readonly<Record<string, KindFigures>>;
  /** Bytes sent and received by each daemon. */
  readonly bytesOfDaemon: readonly number[];
  readonly leaders: number;
  readonly replicas: number;
  readonly ready: number;
}

/** Sent by a worker. */
export type FromWorker =
  | { readonly kind: 'listening'; readonly port: number }
  | { readonly kind: 'read'; readonly daemon: number; readonly effect: ReadObjectEffect }
  | { readonly kind: 'write'; readonly daemon: number; readonly effect: WriteObjectEffect }
  | { readonly kind: 'configured'; readonly version: number; readonly at: number }
  | { readonly kind: 'figures'; readonly figures: WorkerFigures };
