/**
 * What a platform must offer for a router to run on it. An adapter implements these interfaces; nothing else
 * of the product knows which platform it is.
 */
import type { ControlOutcome, ReadOutcome, StoredName, WriteOutcome } from './events.js';
import type { ControlEffect } from './effects.js';
import type { Configuration } from './model/configuration.js';
import type { Milliseconds } from './model/identifiers.js';
import type { ServerDescription } from './model/server.js';
import type { LimitReading } from './model/server-limit.js';
import type { ServerNotice } from './model/server-notice.js';
import type { ReportedLoad } from './request/server-load.js';

/** The daemons' own objects, written by compare-and-swap. Calls never throw. */
export interface ObjectStore {
  /** Reads linearizably. */
  read(object: StoredName): Promise<ReadOutcome>;
  /** Replaces a revision, or creates the object when it is null. */
  write(object: StoredName, value: unknown, revision: number | null): Promise<WriteOutcome>;
}

/** One item of a list that is watched. */
export interface FeedChange<Item> {
  readonly id: string;
  /** Null: it is gone. */
  readonly item: Item | null;
}
/** What a watch came to. */
export type WatchOutcome<Item> =
  | { readonly kind: 'changes'; readonly changes: readonly FeedChange<Item>[]; readonly revision: number }
  /** The store no longer knows what came after the revision: list anew. */
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'failed'; readonly reason: string };
export type ListOutcome<Item> =
  | { readonly kind: 'listed'; readonly items: readonly FeedChange<Item>[]; readonly revision: number }
  | { readonly kind: 'failed'; readonly reason: string };

/** Ends a call whose outcome is not wanted any more: it is not told. */
export type EndCall = () => void;

/** A list in the platform that can be watched. Calls never throw, and tell one outcome unless they are ended. */
export interface FeedSource<Item> {
  readonly name: string;
  list(done: (outcome: ListOutcome<Item>) => void): EndCall;
  /** Waits for changes after a revision. */
  watch(revision: number, wait: Milliseconds, done: (outcome: WatchOutcome<Item>) => void): EndCall;
}

/** Everything that is followed in the platform's store. */
export interface FeedSources {
  readonly configuration: FeedSource<Configuration>;
  readonly servers: FeedSource<ServerDescription>;
  /** Zones that operators evacuate, by name. */
  readonly evacuations: FeedSource<string>;
}

/** Told what the answer to a call says of its server, before the outcome. */
export interface ControlListener {
  noticed(notice: ServerNotice): void;
  /** Also of answers that name none, unless another server may have made them. */
  limitRead(reading: LimitReading): void;
}

/** Grants, releases and probes at servers. Calls never throw. */
export interface ServerControl {
  call(effect: ControlEffect, listener: ControlListener): Promise<ControlOutcome>;
}

/** Names of headers, in lower case, and how their values are read. */
export interface RequestProtocol {
  /** Identifies one try of a caller; a server repeats it in its answer. */
  readonly attemptId: string;
  /** Milliseconds that are left. */
  readonly timeLeft: string;
  /** The server that must run the request; any other one rejects it. */
  readonly expectedServer: string;
  /** Present in an answer that says that the request has not run. */
  readonly notRun: string;
  /** A server's proof that an answer is its own. */
  readonly seal: string;
  readonly key: string;
  /** Says who the caller is. */
  readonly credentials: string;
  readonly load: string;
  /** Reads the value of the load header; null when it is malformed. */
  parseLoad(value: string): ReportedLoad | null;
  /** Reads what an answer with this status and these raw headers, or trailers, says of its server; null: nothing. */
  readNotice(status: number, rawHeaders: readonly string[]): ServerNotice | null;
  /** Reads the limit that an answer with these raw headers names. */
  readLimit(rawHeaders: readonly string[]): LimitReading;
  /** Path at which readiness is asked for. */
  readonly readinessPath: string;
}

/** A platform, whole. */
export interface Platform {
  readonly store: ObjectStore;
  readonly feeds: FeedSources;
  readonly control: ServerControl;
  readonly protocol: RequestProtocol;
  /** Ends every connection. */
  close(): void;
}
