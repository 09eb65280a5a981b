/**
 * The HTTP client: those modules of the `undici` library that a router needs. Its index loads fetch, cookies,
 * caches and web sockets as well, which is a fourth of a router's whole start (docs/design/platform.md).
 */
import request from 'undici/lib/api/api-request.js';
import Agent from 'undici/lib/dispatcher/agent.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// The index puts the calls that share a dispatcher onto it; this one is used here.
Object.assign(Dispatcher.prototype, { request });

export { Agent, Client, Dispatcher, Pool };
export { buildResettingConnector } from './resetting-connector.js';
export { RenewablePool } from './renewable-pool.js';
