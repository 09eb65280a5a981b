/**
 * What the reducer asks its surroundings to do. Effects are plain data: the runtime performs them over
 * sockets, the simulation performs the same ones in virtual time.
 */
import type { ControlRequest } from './server-control.js';
import type { DaemonId, Epoch, Milliseconds, ServerId, UnitNumber } from './identifiers.js';
import type { PeerMessage } from './messages.js';

/** Send a message to another daemon. May be lost. */
export interface SendEffect {
  readonly kind: 'send';
  readonly to: DaemonId;
  readonly address: string;
  /** 0: whichever life of the daemon is there. */
  readonly recipientIncarnation: number;
  readonly message: PeerMessage;
}
/** Make a control call to a server; answered by a `controlReply` event or not at all. */
export interface ControlServerEffect {
  readonly kind: 'controlServer';
  readonly server: ServerId;
  readonly address: string;
  readonly request: ControlRequest;
}
/** Read an object of the platform's store; answered by `objectRead`. */
export interface ReadObjectEffect {
  readonly kind: 'readObject';
  readonly name: string;
  /** With a version: wait in the store until the object has a newer one. */
  readonly afterVersion: number | null;
}
/** Write an object if its version is still the expected one; answered by `objectWritten`. */
export interface WriteObjectEffect {
  readonly kind: 'writeObject';
  readonly name: string;
  readonly expectedVersion: number;
  /** Stands in the object, so that a lost answer can be resolved by reading back. */
  readonly writeId: string;
  readonly value: string;
}
/** Send a caller's request to a server. */
export interface ForwardEffect {
  readonly kind: 'forward';
  readonly requestId: number;
  readonly attempt: number;
  readonly server: ServerId;
  readonly address: string;
  /** Null for a balanced group, and for a request that goes to another side. */
  readonly token: FencingToken | null;
  /** Connections this daemon may hold to the address. */
  readonly connections: number;
  /** Daemons the request has passed, this one included. */
  readonly hops: number;
  /** The address is a daemon of another side: its outcome header tells what became of the request. */
  readonly toOtherSide: boolean;
  readonly deadlineAt: Milliseconds;
}
/** What a server needs to check that it owns the key of a request. */
export interface FencingToken {
  readonly group: string;
  readonly unit: UnitNumber;
  readonly epoch: Epoch;
}
/** What can be said about whether a request was run. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Answer a caller with a problem of the router's own. */
export interface AnswerEffect {
  readonly kind: 'answer';
  readonly requestId: number;
  readonly status: number;
  readonly outcome: Outcome;
  readonly title: string;
  readonly detail: string;
  /** When to come back, in seconds, or null. */
  readonly retryAfterSeconds: number | null;
}
/** Give up an attempt that is under way: the caller left or the deadline passed. */
export interface CancelEffect {
  readonly kind: 'cancel';
  readonly requestId: number;
  readonly attempt: number;
}
/** Answer an operator's command. */
export interface CommandResultEffect {
  readonly kind: 'commandResult';
  readonly commandId: number;
  readonly accepted: boolean;
  readonly detail: string;
}
/** Write one log line: only for a change of state. */
export interface LogEffect {
  readonly kind: 'log';
  readonly level: 'info' | 'warn' | 'error';
  readonly text: string;
}

/** Anything the reducer may ask for. */
export type Effect =
  | SendEffect
  | ControlServerEffect
  | ReadObjectEffect
  | WriteObjectEffect
  | ForwardEffect
  | AnswerEffect
  | CancelEffect
  | CommandResultEffect
  | LogEffect;
