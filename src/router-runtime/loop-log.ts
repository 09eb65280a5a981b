/** Logs when the event loop falls behind and when it has caught up. */
import type { Milliseconds } from '../router/model/identifiers.js';
import type { EventLog } from './event-log.js';
import type { LoopMonitorListener } from './loop-monitor.js';

/** @param onTick receives the delay of each tick */
export function logLoopDelays(log: EventLog, onTick: (delay: Milliseconds) => void): LoopMonitorListener {
  return {
    onTick,
    onFellBehind: (delay) => log.event('warn', 'loop_behind', { delay: Math.round(delay) }),
    onCaughtUp: ({ longest, lasted, busiest }) =>
      log.event('warn', 'loop_on_time', {
        longest: Math.round(longest),
        lasted: Math.round(lasted),
        busiest,
      }),
  };
}
