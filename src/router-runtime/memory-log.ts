/** Logs when the process's memory comes close to its limit and when it is normal again. */
import type { EventLog } from './event-log.js';
import type { MemoryListener, MemorySample } from './memory-monitor.js';
import type { TransferStatistics } from './transfer-limits.js';

const BYTES_PER_MEGABYTE = 1_000_000;

function inMegabytes(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MEGABYTE);
}

/** @param requestCount returns the number of requests in flight */
export function logMemory(
  log: EventLog,
  transfers: TransferStatistics,
  requestCount: () => number,
): MemoryListener {
  const fieldsOf = (sample: MemorySample): Record<string, number> => ({
    heap: inMegabytes(sample.heapUsed),
    heap_limit: inMegabytes(sample.heapLimit),
    external: inMegabytes(sample.external),
    resident: inMegabytes(sample.resident),
    held_for_callers: inMegabytes(transfers.heldForCallers),
    held_for_servers: inMegabytes(transfers.heldForServers),
    requests: requestCount(),
  });
  return {
    onHigh: (sample) => log.event('warn', 'memory_high', fieldsOf(sample)),
    onNormal: (sample) => log.event('warn', 'memory_normal', fieldsOf(sample)),
  };
}
