/**
 * Interfaces that a platform adapter implements so that a router can run on the platform. No other part of the program
 * depends on a particular platform.
 */
import type { ControlOutcome, ReadOutcome, StoredObjectName, WriteOutcome } from './events.js';
import type { ControlEffect } from './effects.js';
import type { Configuration } from './model/configuration.js';
import type { ServerDescription } from './model/server.js';
import type { LimitReading } from './model/server-limit.js';
import type { ServerNotice } from './model/server-notice.js';
import type { WatchTiming } from './news/store-watch-timing.js';
import type { ReportedLoad } from './request/server-load.js';

/** Stores the daemons' own objects, which are written by compare-and-swap. Calls never throw. */
export interface ObjectStore {
  /** Performs a linearizable read. */
  read(object: StoredObjectName): Promise<ReadOutcome>;
  /** Replaces the given revision of the object, or creates the object when `revision` is null. */
  write(object: StoredObjectName, value: unknown, revision: number | null): Promise<WriteOutcome>;
}

/** A change of one item in a watched list. */
export interface FeedChange<Item> {
  readonly id: string;
  /** Null: the item was removed. */
  readonly item: Item | null;
}
/** Changes that a watch returned, and the revision up to which there are no others. */
export interface WatchedChanges<Item> {
  readonly kind: 'changes';
  readonly changes: readonly FeedChange<Item>[];
  /** Whether there were also changes of objects whose names can't be read. */
  readonly hasUnnamed?: boolean;
  readonly revision: number;
}
/** Result of a watch call. */
export type WatchOutcome<Item> =
  | WatchedChanges<Item>
  /** The store no longer has the changes after the revision: the feed must be listed again. */
  | { readonly kind: 'forgotten' }
  | FailedCall;
/** A call that ended without a usable response. */
export interface FailedCall {
  readonly kind: 'failed';
  readonly reason: string;
  /** Whether the store is available: it throttles calls, or a response had begun to arrive and took too long. */
  readonly isResponding: boolean;
}
/** Result of a list call. */
export type ListOutcome<Item> =
  | {
      /** `listedPartly`: the list could not be continued, so that other items may exist. */
      readonly kind: 'listed' | 'listedPartly';
      readonly items: readonly FeedChange<Item>[];
      readonly revision: number;
    }
  | FailedCall;

/** Cancels a call: its outcome is not reported. */
export type CancelCall = () => void;

/** A list on the platform that can be watched. Calls never throw, and report exactly one outcome unless cancelled. */
export interface FeedSource<Item> {
  readonly name: string;
  list(done: (outcome: ListOutcome<Item>) => void): CancelCall;
  /** Waits for changes after a revision. Calls `onOverdue` at most once, and before `done`. */
  watch(
    revision: number,
    timing: WatchTiming,
    done: (outcome: WatchOutcome<Item>) => void,
    onOverdue: () => void,
  ): CancelCall;
}

/** The lists in the platform's store that daemons watch. */
export interface FeedSources {
  readonly configuration: FeedSource<Configuration>;
  readonly servers: FeedSource<ServerDescription>;
  /** Names of the evacuated zones. */
  readonly evacuations: FeedSource<string>;
}

/** Receives what the response to a control call says of its server, before the call's outcome is reported. */
export interface ControlListener {
  onNotice(notice: ServerNotice): void;
  /** Called also for responses without a limit, unless another server may have produced them. */
  onLimitRead(reading: LimitReading): void;
}

/** Sends grants, releases and probes to servers. Calls never throw. */
export interface ServerControl {
  call(effect: ControlEffect, listener: ControlListener): Promise<ControlOutcome>;
}

/** Names of the request protocol's headers, in lower case, and parsers of their values. */
export interface RequestProtocol {
  /** Identifies one attempt of a caller; a server echoes it in its response. */
  readonly attemptId: string;
  /** Milliseconds until the deadline of the request. */
  readonly remainingTime: string;
  /** The server that must execute the request; any other server rejects it. */
  readonly expectedServer: string;
  /** Present in a response that states that the request was not executed. */
  readonly notExecuted: string;
  /** A server's proof that it produced the response itself. */
  readonly serverProof: string;
  readonly key: string;
  /** Authenticates the caller. */
  readonly credentials: string;
  readonly load: string;
  /** Parses the value of the load header; null: malformed. */
  parseLoad(value: string): ReportedLoad | null;
  /** Parses what a response's status and raw headers or trailers announce of the server's draining or back-off; null: nothing. */
  readNotice(status: number, rawHeaders: readonly string[]): ServerNotice | null;
  /** Parses the rate limit in the raw headers of a response. */
  readLimit(rawHeaders: readonly string[]): LimitReading;
  /** Path of the readiness check. */
  readonly readinessPath: string;
}

/** All interfaces of a platform. */
export interface Platform {
  readonly store: ObjectStore;
  readonly feeds: FeedSources;
  readonly control: ServerControl;
  readonly protocol: RequestProtocol;
  /** Closes every connection. */
  close(): void;
}
