/** Loaded into a daemon's process before its program. Starts the thread that writes heartbeats. */
import { isMainThread, Worker } from 'node:worker_threads';

// Threads load this module, too: without the check each thread would start another one.
if (isMainThread) {
  new Worker(new URL('heartbeat-thread.js', import.meta.url)).unref();
}
