/**
 * One connection of a caller, which may send several requests before the first is answered (pipelining). Node's HTTP server sends the answers
 * in the order of the requests. This class bounds the unanswered requests, accounts for unread answers, and keeps requests behind an answer
 * that closes the connection from being handled.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { AnswerBuffer } from './answer-buffers.js';
import { ConnectionClosing } from './connection-closing.js';
import { RequestSlot } from './request-slot.js';
import type { TransferLimits } from './transfer-limits.js';

/** The most requests of one connection that are handled at a time. Callers pipeline about ten; further requests wait unread. */
const MAX_UNANSWERED_REQUESTS = 16;
/** The most bytes of request bodies that are held for one connection before its reading is paused. */
const MAX_BODY_BYTES = 1024 * 1024;

/** What a connection needs to know of its requests and reports of them. */
export interface ConnectionListener {
  /** Whether a request has been sent to a server. */
  wasSent(requestId: number): boolean;
  /** The request's answer can't be delivered, since an earlier answer closes the connection. */
  onUnreachable(requestId: number): void;
  /** The caller has read nothing for too long. The connection is closed afterwards. */
  onNotReading(requestId: number): void;
  /** The answer, which is not the connection's next one, has been buffered up to the bound for too long. */
  onWaitedTooLong(requestId: number): void;
  /** The connection has closed before this request's answer was sent. */
  onDisconnected(requestId: number): void;
}

export class CallerConnection {
  readonly buffer: AnswerBuffer;
  readonly #socket: Socket;
  readonly #limits: TransferLimits;
  readonly #listener: ConnectionListener;
  readonly #closing: ConnectionClosing;
  /** Requests whose answers have not been sent completely, in the order of the answers. */
  readonly #slots: RequestSlot[] = [];
  /** Complete requests that wait until earlier ones have been answered. */
  #waiting: { readonly slot: RequestSlot; readonly handle: () => void }[] = [];
  #admittedCount = 0;
  #bodyBytes = 0;
  #isPaused = false;
  #isRoomScheduled = false;
  /** Reading is paused for good. */
  #isReadingStopped = false;
  /** Later requests count as not read. */
  #ignoresRequests = false;
  #isClosed = false;

  constructor(socket: Socket, limits: TransferLimits, listener: ConnectionListener) {
    this.#socket = socket;
    this.#limits = limits;
    this.#listener = listener;
    this.#closing = new ConnectionClosing(socket, {
      wouldLookComplete: () => this.#isEndAmbiguous(),
      onReset: () => limits.countAbort('reset_without_length'),
    });
    this.buffer = limits.answers.create({
      onRoom: () => this.#onRoom(),
      onStalled: () => this.#onStalled(),
    });
    // Node's HTTP server resumes the socket by itself when a message ends or the output has drained.
    socket.on('resume', () => this.#isPaused && socket.pause());
    // A caller that half-closes its connection counts as disconnected, even if it would still read.
    socket.on('end', () => this.#reportDisconnect());
    socket.on('error', () => this.#reportDisconnect());
    socket.on('close', () => this.#onClose());
  }

  /** Whether the caller would take an answer to malformed bytes for the answer to them, and not to an earlier request. */
  get mayAnswerMalformed(): boolean {
    const [next] = this.#slots;
    const isUnread = next !== undefined && !next.isAdmitted && !next.outgoing.headersSent;
    return next === undefined || (this.#slots.length === 1 && isUnread);
  }

  /** Adds a request whose head has been read. Returns null if the request counts as not read. */
  addRequest(requestId: number, outgoing: ServerResponse): RequestSlot | null {
    if (this.#ignoresRequests) {
      return null;
    }
    const slot = new RequestSlot(requestId, outgoing, this);
    this.#slots.push(slot);
    outgoing.on('finish', () => this.#onAnswerSent(slot));
    return slot;
  }

  /** Returns whether the end of the connection would look like the end of the answer that is being sent. */
  #isEndAmbiguous(): boolean {
    const [current] = this.#slots;
    return current?.endsWithConnection === true && current.outgoing.socket !== null;
  }

  #onAnswerSent(slot: RequestSlot): void {
    this.#remove(slot);
    if (this.#slots.length > 0) {
      this.#closing.recordUnreadAnswer();
    }
  }

  /** Breaks off an answer, such that its caller does not take what has been sent of it for all of it. */
  breakOff({ outgoing }: RequestSlot): void {
    if (outgoing.socket === null) {
      // Nothing of it has been sent. The connection closes after the answers before it.
      outgoing.destroy();
    } else {
      this.close();
    }
  }

  /** Closes the connection, such that the answer that is being sent does not look complete unless it is. */
  close(): void {
    this.#closing.close();
  }

  /** Closes the connection like `close`, without giving the caller time to read earlier answers. */
  closeAtOnce(): void {
    this.#closing.closeAtOnce();
  }

  /** Records bytes of a request's body that are held until the request has ended. */
  holdBody(slot: RequestSlot, bytes: number): void {
    if (this.#slots.includes(slot)) {
      slot.bodyBytes += bytes;
      this.#bodyBytes += bytes;
      this.#limits.holdBody(bytes);
    }
  }

  /** Releases what is held of a request's body. */
  releaseBody(slot: RequestSlot): void {
    this.#limits.releaseBody(slot.bodyBytes);
    this.#bodyBytes -= slot.bodyBytes;
    slot.bodyBytes = 0;
  }

  /** Reads nothing more: what is still to come would cost more than it is worth. The connection closes after the answers that are due. */
  stopReading(): void {
    this.#isReadingStopped = true;
    this.#ignoresRequests = true;
    this.#isPaused = true;
    this.#socket.pause();
  }

  /** Handles a complete request, or lets it wait, with reading paused, until earlier requests have been answered. */
  admit(slot: RequestSlot, handle: () => void): void {
    if (!this.#slots.includes(slot)) {
      return;
    }
    this.#waiting.push({ slot, handle });
    this.#admitWaiting();
    if (this.#mustPause()) {
      this.#isPaused = true;
      this.#socket.pause();
    }
  }

  /**
   * Returns whether an answer closes the connection because the daemon wants it closed. Answers behind it that have begun, or whose requests
   * have been sent to a server, are still delivered. Requests are read no more if this answer or the last one behind it closes the connection;
   * an answer that has begun says already that the connection stays open.
   */
  closesWith(slot: RequestSlot, isClosing: boolean): boolean {
    const isAnswerDue = ({ requestId, outgoing }: RequestSlot): boolean =>
      outgoing.headersSent || this.#listener.wasSent(requestId);
    const lastDue = this.#behind(slot).findLast(isAnswerDue);
    const isWanted = isClosing || this.#ignoresRequests;
    this.#ignoresRequests ||= isClosing && lastDue?.outgoing.headersSent !== true;
    return isWanted && lastDue === undefined;
  }

  /** Records that an answer closes the connection: the requests behind it count as not read. */
  closeAfter(slot: RequestSlot): void {
    this.#ignoresRequests = true;
    const behind = this.#behind(slot);
    this.#waiting = this.#waiting.filter((waiting) => !behind.includes(waiting.slot));
    for (const unreachable of behind) {
      if (!this.#listener.wasSent(unreachable.requestId)) {
        this.#limits.countAbort('behind_closing_answer');
        this.#remove(unreachable);
        this.#listener.onUnreachable(unreachable.requestId);
      }
    }
  }

  #behind(slot: RequestSlot): RequestSlot[] {
    const index = this.#slots.indexOf(slot);
    return index < 0 ? [] : this.#slots.slice(index + 1);
  }

  #remove(slot: RequestSlot): void {
    const index = this.#slots.indexOf(slot);
    if (index < 0) {
      return;
    }
    this.#slots.splice(index, 1);
    this.#waiting = this.#waiting.filter((waiting) => waiting.slot !== slot);
    this.#admittedCount -= slot.isAdmitted ? 1 : 0;
    this.releaseBody(slot);
    this.#admitWaiting();
  }

  #admitWaiting(): void {
    while (this.#admittedCount < MAX_UNANSWERED_REQUESTS && this.buffer.hasRoom) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        break;
      }
      next.slot.isAdmitted = true;
      this.#admittedCount += 1;
      next.handle();
    }
    if (this.#isPaused && !this.#mustPause()) {
      this.#isPaused = false;
      this.#socket.resume();
    }
  }

  /** Returns whether reading is to be paused. The disconnect of a caller whose connection is paused is detected late. */
  #mustPause(): boolean {
    const hasLongBodies = this.#slots.length > 1 && this.#bodyBytes > MAX_BODY_BYTES;
    return this.#isReadingStopped || this.#waiting.length > 0 || hasLongBodies;
  }

  /** Uses new room after the current callback, in which another answer may be being parsed: the HTTP client's parsers do not nest. */
  #onRoom(): void {
    const isRoomAwaited = this.#waiting.length > 0 || this.#slots.some((slot) => slot.resumeAnswer !== null);
    if (isRoomAwaited && !this.#isRoomScheduled) {
      this.#isRoomScheduled = true;
      queueMicrotask(() => this.#useRoom());
    }
  }

  #useRoom(): void {
    this.#isRoomScheduled = false;
    if (!this.buffer.hasRoom) {
      return;
    }
    for (const slot of this.#slots) {
      const resume = slot.resumeAnswer;
      slot.resumeAnswer = null;
      resume?.();
    }
    this.#admitWaiting();
  }

  #onStalled(): void {
    if (this.#socket.writableLength === 0) {
      // The caller has read all that was sent: the answers that are held are not its next one.
      this.#abortOutOfTurn();
      return;
    }
    this.#limits.countAbort('caller_not_reading');
    this.#slots.slice().forEach(({ requestId }) => this.#listener.onNotReading(requestId));
    this.close();
  }

  #abortOutOfTurn(): void {
    for (const slot of this.#slots.slice()) {
      if (slot.resumeAnswer !== null) {
        this.#limits.countAbort('answer_out_of_turn');
        this.closeAfter(slot);
        this.#listener.onWaitedTooLong(slot.requestId);
      }
    }
  }

  #reportDisconnect(): void {
    this.#ignoresRequests = true;
    this.#waiting = [];
    this.#slots.slice().forEach(({ requestId }) => this.#listener.onDisconnected(requestId));
  }

  #onClose(): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    this.#reportDisconnect();
    this.#slots.splice(0).forEach((slot) => this.releaseBody(slot));
    this.buffer.close();
  }
}
