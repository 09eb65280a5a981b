/** Dependencies of the frontend for callers. */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { AttemptSenderOptions } from './attempt-sender.js';

/** How far the event loop is behind. */
export interface LoopStatus {
  /** Returns how many milliseconds a request that is read now may have waited unread. */
  readDelay(): Milliseconds;
  /** Returns whether the loop has polled its sockets a short time ago. */
  isOnTime(): boolean;
}

/** Dependencies of the frontend. */
export interface CallerFrontendOptions extends AttemptSenderOptions {
  readonly loop: LoopStatus;
  /** The memory limit of the process. */
  readonly memoryMegabytes?: number;
  /** Returns how long a request may wait unread and still be answered in time, or null if no route matches it. */
  readonly longestReadDelay: (host: string, target: string) => Milliseconds | null;
}
