/**
 * The effects that the reducer returns. Effects are plain data: the runtime performs them over sockets, and
 * the simulation performs the same effects in virtual time.
 */
import type { ControlRequest } from './server-control.js';
import type { DaemonId, Epoch, Milliseconds, ServerId, UnitNumber } from './identifiers.js';
import type { PeerMessage } from './messages.js';

/** Sends a message to another daemon. The message may be lost. */
export interface SendEffect {
  readonly kind: 'send';
  readonly to: DaemonId;
  readonly address: string;
  /** The incarnation that may accept the message, or 0 for any incarnation. */
  readonly recipientIncarnation: number;
  readonly message: PeerMessage;
}
/**
 * Makes a control call to an upstream server. A `controlReply` event follows if the server responds in time.
 */
export interface ControlServerEffect {
  readonly kind: 'controlServer';
  readonly server: ServerId;
  readonly address: string;
  readonly request: ControlRequest;
}
/** Reads an object from the store; an `objectRead` event follows. */
export interface ReadObjectEffect {
  readonly kind: 'readObject';
  readonly name: string;
  /** When set, the store holds the read open until the object has a newer version than this one. */
  readonly afterVersion: number | null;
}
/** Writes an object by compare-and-swap on its version; an `objectWritten` event follows. */
export interface WriteObjectEffect {
  readonly kind: 'writeObject';
  readonly name: string;
  readonly expectedVersion: number;
  /** Stored with the object, so that reading it back shows whether a write without a response took effect. */
  readonly writeId: string;
  readonly value: string;
}
/** Sends a caller's request to an upstream server or to a daemon of another side. */
export interface ForwardEffect {
  readonly kind: 'forward';
  readonly requestId: number;
  readonly attempt: number;
  readonly server: ServerId;
  readonly address: string;
  /** The fencing token; null for a balanced group and for a request that is forwarded to another side. */
  readonly token: FencingToken | null;
  /** The largest number of connections that this daemon may open to the address. */
  readonly connections: number;
  /** The number of daemons that the request has passed through, this one included. */
  readonly hops: number;
  /**
   * Whether the address is a daemon of another side, whose outcome header reports whether the request was
   * run.
   */
  readonly toOtherSide: boolean;
  readonly deadlineAt: Milliseconds;
}
/** The token by which an upstream server checks that it owns the key of a request. */
export interface FencingToken {
  readonly group: string;
  readonly unit: UnitNumber;
  readonly epoch: Epoch;
}
/** Whether an upstream server ran a request, as far as the daemon can prove. */
export type Outcome = 'answered' | 'not-run' | 'unknown';

/** Sends a caller an error response that the daemon generates itself. */
export interface AnswerEffect {
  readonly kind: 'answer';
  readonly requestId: number;
  readonly status: number;
  readonly outcome: Outcome;
  readonly title: string;
  readonly detail: string;
  /** The delay after which the caller may retry, in seconds, or null for no `retry-after` header. */
  readonly retryAfterSeconds: number | null;
}
/** Cancels an attempt in flight because the caller disconnected or the deadline passed. */
export interface CancelEffect {
  readonly kind: 'cancel';
  readonly requestId: number;
  readonly attempt: number;
}
/** Reports the result of an operator's command. */
export interface CommandResultEffect {
  readonly kind: 'commandResult';
  readonly commandId: number;
  readonly accepted: boolean;
  readonly detail: string;
}
/** Writes one log line. Used only for changes of state. */
export interface LogEffect {
  readonly kind: 'log';
  readonly level: 'info' | 'warn' | 'error';
  readonly text: string;
}

/** Any effect that the reducer may return. */
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
