/**
 * The HTTP client: the modules of the `undici` library that a router needs. The index of the library also loads fetch, cookies,
 * caches and web sockets, which takes a quarter of the start-up time of a router (docs/design/platform.md).
 */
import request from 'undici/lib/api/api-request.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// The index of the library adds the API methods to the dispatcher. Only `request` is needed here.
Object.assign(Dispatcher.prototype, { request });

export { Agent, Client, Dispatcher, Pool };
export { HeldReads } from './held-reads.js';
export { OverheadLimit } from './overhead-limit.js';
export { buildResettingConnector } from './resetting-connector.js';
export { type DueTime, RecyclingPool, SlowTransferError } from './recycling-pool.js';
