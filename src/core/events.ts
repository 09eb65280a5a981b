/**
 * Everything that can happen to a daemon. Time and entropy arrive in events: the reducer reads no clock
 * and draws no random number of its own.
 */
import type { ControlReply } from './server-control.js';
import type { Milliseconds, ServerId, ShardId, UnitNumber } from './identifiers.js';
import type { Envelope } from './messages.js';

/** Time passed. */
export interface TickEvent {
  readonly kind: 'tick';
}
/** A message came from another daemon. */
export interface PeerMessageEvent {
  readonly kind: 'peerMessage';
  readonly envelope: Envelope;
}
/** A server answered a control call. */
export interface ControlReplyEvent {
  readonly kind: 'controlReply';
  readonly server: ServerId;
  readonly shard: ShardId;
  readonly term: number;
  readonly reply: ControlReply;
}
/** The store answered a read. `version` 0 means that there is no such object. */
export interface ObjectReadEvent {
  readonly kind: 'objectRead';
  readonly name: string;
  readonly result: { readonly version: number; readonly value: string; readonly writeId: string } | null;
}
/** The store answered a write, or did not. */
export interface ObjectWrittenEvent {
  readonly kind: 'objectWritten';
  readonly name: string;
  readonly writeId: string;
  /** `unknown`: no answer came; the write may have taken effect. */
  readonly result: 'written' | 'conflict' | 'unknown' | 'refused';
  readonly version: number;
}
/** A caller's request, its headers read and its body not yet. */
export interface RequestArrivedEvent {
  readonly kind: 'requestArrived';
  readonly requestId: number;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly query: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The body is held whole (or there is none), so another attempt can send it again. */
  readonly replayable: boolean;
}
/** The process is to stop as planned: it gives up its roles. */
export interface StoppingEvent {
  readonly kind: 'stopping';
}
/** How one attempt to have a server run a request ended. */
export type AttemptResult =
  | { readonly kind: 'answered' }
  /** The server said that it did not run the request. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** No byte of the request left: certainly not run. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** Bytes left and no whole answer came. */
  | { readonly kind: 'lost'; readonly reason: string; readonly answerStarted: boolean };
export interface AttemptEndedEvent {
  readonly kind: 'attemptEnded';
  readonly requestId: number;
  readonly attempt: number;
  readonly result: AttemptResult;
}
/** The head of a server's answer came and goes out to the caller: the deadline no longer applies. */
export interface AnswerStartedEvent {
  readonly kind: 'answerStarted';
  readonly requestId: number;
  readonly attempt: number;
}
/** The caller went away. */
export interface CallerLeftEvent {
  readonly kind: 'callerLeft';
  readonly requestId: number;
}
/** An operator's command that changes something. */
export type OperatorCommand =
  | { readonly action: 'move'; readonly group: string; readonly unit: UnitNumber; readonly target: ServerId }
  | {
      readonly action: 'handOver';
      readonly group: string;
      readonly unit: UnitNumber;
      readonly target: string;
    }
  | { readonly action: 'pin'; readonly group: string; readonly key: string; readonly target: ServerId }
  | { readonly action: 'recover'; readonly shard: ShardId }
  | {
      readonly action: 'configure';
      /** The version the operator saw. */
      readonly expectedVersion: number;
      readonly text: string;
      /** Who asks; another operator whose change loses is told. */
      readonly operator: string;
    };
export interface OperatorCommandEvent {
  readonly kind: 'operatorCommand';
  readonly commandId: number;
  readonly command: OperatorCommand;
}

/** Any event. */
export type DaemonEvent =
  | TickEvent
  | StoppingEvent
  | PeerMessageEvent
  | ControlReplyEvent
  | ObjectReadEvent
  | ObjectWrittenEvent
  | RequestArrivedEvent
  | AnswerStartedEvent
  | AttemptEndedEvent
  | CallerLeftEvent
  | OperatorCommandEvent;

/** An event with the time at which it reached the daemon, on the daemon's own steady clock. */
export interface TimedEvent {
  readonly now: Milliseconds;
  readonly event: DaemonEvent;
}
