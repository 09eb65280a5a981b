/**
 * The events that a daemon's reducer handles. Events carry the time, and the daemon's identity carries the
 * random seed: the reducer reads no clock and no other source of entropy.
 */
import type { ControlReply } from './server-control.js';
import type { Milliseconds, ServerId, ShardId, UnitNumber } from './identifiers.js';
import type { Envelope } from './messages.js';

/** The periodic timer fired. */
export interface TickEvent {
  readonly kind: 'tick';
}
/** A message from another daemon arrived. */
export interface PeerMessageEvent {
  readonly kind: 'peerMessage';
  readonly envelope: Envelope;
}
/** An upstream server responded to a control call. */
export interface ControlReplyEvent {
  readonly kind: 'controlReply';
  readonly server: ServerId;
  readonly shard: ShardId;
  readonly term: number;
  readonly reply: ControlReply;
}
/**
 * A read of the store ended. `version` 0 means that the object does not exist; `result` null means that the
 * read failed.
 */
export interface ObjectReadEvent {
  readonly kind: 'objectRead';
  readonly name: string;
  readonly result: { readonly version: number; readonly value: string; readonly writeId: string } | null;
}
/** A write to the store ended, with or without a response. */
export interface ObjectWrittenEvent {
  readonly kind: 'objectWritten';
  readonly name: string;
  readonly writeId: string;
  /** `unknown`: the write may have taken effect, since no conclusive response arrived. */
  readonly result: 'written' | 'conflict' | 'unknown' | 'refused';
  readonly version: number;
}
/** A caller's request arrived. Its headers have been read; its body may still be arriving. */
export interface RequestArrivedEvent {
  readonly kind: 'requestArrived';
  readonly requestId: number;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly query: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Whether a retry can send the body again: it is buffered completely, or the request has none. */
  readonly replayable: boolean;
}
/** A planned stop of the process began; the daemon gives up its leaderships. */
export interface StoppingEvent {
  readonly kind: 'stopping';
}
/** The result of one attempt to have an upstream server run a request. */
export type AttemptResult =
  | { readonly kind: 'answered' }
  /** The server responded that it did not run the request. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** No byte of the request was sent, so the server cannot have run it. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** Bytes of the request may have been sent and no complete response arrived: the server may have run it. */
  | { readonly kind: 'lost'; readonly reason: string; readonly answerStarted: boolean };
export interface AttemptEndedEvent {
  readonly kind: 'attemptEnded';
  readonly requestId: number;
  readonly attempt: number;
  readonly result: AttemptResult;
}
/**
 * The head of a server's response arrived and is being forwarded to the caller: the deadline no longer
 * applies.
 */
export interface AnswerStartedEvent {
  readonly kind: 'answerStarted';
  readonly requestId: number;
  readonly attempt: number;
}
/** The caller closed its connection before its response was complete. */
export interface CallerLeftEvent {
  readonly kind: 'callerLeft';
  readonly requestId: number;
}
/** An operator's command that changes ownership, replicas or the configuration. */
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
      /** The configuration version that the operator's change is based on. */
      readonly expectedVersion: number;
      readonly text: string;
      /** The operator's name, reported to another operator whose concurrent change is rejected. */
      readonly operator: string;
    };
export interface OperatorCommandEvent {
  readonly kind: 'operatorCommand';
  readonly commandId: number;
  readonly command: OperatorCommand;
}

/** Any event that the reducer handles. */
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

/** An event with the time at which it reached the daemon, on the daemon's own monotonic clock. */
export interface TimedEvent {
  readonly now: Milliseconds;
  readonly event: DaemonEvent;
}
