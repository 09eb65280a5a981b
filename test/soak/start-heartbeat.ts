/** Loaded into a daemon's process before its program. Starts the thread that writes heartbeats. */
import { Worker } from 'node:worker_threads';

new Worker(new URL('heartbeat-thread.js', import.meta.url)).unref();
