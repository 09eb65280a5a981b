/** Checks whether connections to servers can be opened. Nothing is sent on them. */
import type { PollBarrier } from '../event-loop/poll-barrier.js';
import type { CheckPathEffect } from '../router/effects.js';
import { CHECK_TIMED_OUT } from '../router/events.js';
import { hostAndPort } from '../router/model/address.js';
import { openSocket } from '../runtime/open-socket.js';

/**
 * Opens a connection and closes it at once.
 *
 * @param barrier shows on a timeout whether the connection has come up unread
 * @param done receives why no connection could be opened, or null
 */
export function checkPath(
  { address, timeout }: CheckPathEffect,
  barrier: PollBarrier,
  done: (failure: string | null) => void,
): void {
  const socket = openSocket(hostAndPort(address), false);
  let isDone = false;
  const finish = (failure: string | null): void => {
    if (!isDone) {
      isDone = true;
      clearTimeout(timer);
      socket.resetAndDestroy();
      done(failure);
    }
  };
  const timer = setTimeout(() => barrier.afterPoll(() => finish(CHECK_TIMED_OUT)), timeout);
  socket.on('connect', () => finish(null));
  socket.on('error', (error: NodeJS.ErrnoException) => finish(error.code ?? error.message));
}
