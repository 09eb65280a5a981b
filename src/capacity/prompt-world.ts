/**
 * One leading daemon whose surroundings answer at once: the store takes every write, servers take every call,
 * followers exist as reports only. What is left is the cost of the reducer and of the codec themselves.
 */
import type { Effect } from '../router/effects.js';
import type { RouterEvent } from '../router/events.js';
import type { Configuration } from '../router/model/configuration.js';
import type { ServerDescription } from '../router/model/server.js';
import type { PeerMessage } from '../router/peers/messages.js';
import { reduce } from '../router/reducer.js';
import { createRouterState, type RouterState } from '../router/router-state.js';
import { decodePeerMessage, encodePeerMessage } from '../router-runtime/peer-codec.js';

export const SERVICE = 'racks';
const FRAME_BYTES = 4;
const BOUNDS = { retries: { ratio: 0.2, extra: 200 }, drain: 2_000, longestLease: 10_000 };
const CONFIGURATION: Configuration = {
  version: 1,
  routes: [],
  services: new Map([[SERVICE, { name: SERVICE, keyed: true, connectionLimit: 500, healthPath: '/health' }]]),
  limits: { headerBytes: 16_384, bodyBytes: 65_536, headerTimeout: 3_000, idleTimeout: 15_000 },
};

/** A daemon's state with a configuration and servers. */
export function createDaemon(life: number, servers: number): RouterState {
  const identity = { daemon: `d${life}`, zone: 'z0', peerAddress: '10.0.0.1:70', life };
  const state = createRouterState(identity, BOUNDS, life);
  reduce(state, 0, { kind: 'configuration', configuration: CONFIGURATION });
  reduce(state, 0, { kind: 'serversListed', servers: listServers(servers), revision: 1 });
  return state;
}

function listServers(count: number): ServerDescription[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `i-${index}`,
    service: SERVICE,
    address: `10.1.${index >> 8}.${index & 255}:80`,
    zone: `z${index % 5}`,
    slots: 3,
    draining: false,
    warmupLeft: 0,
    listedAt: index,
    revision: 1,
  }));
}

export class PromptWorld {
  readonly leader: RouterState;
  now = 0;
  bytesSent = 0;
  bytesReceived = 0;
  serverCalls = 0;
  storeWrites = 0;
  /** What the leader has sent to all since this was last emptied. */
  readonly broadcasts: PeerMessage[] = [];
  readonly #followers: number;
  #revision = 1;

  constructor(followers: number, servers: number) {
    this.#followers = followers;
    this.leader = createDaemon(1, servers);
  }

  /** Begins to count anew. */
  resetCounts(): void {
    this.bytesSent = 0;
    this.bytesReceived = 0;
    this.serverCalls = 0;
    this.storeWrites = 0;
  }

  /** Lets the leader take an event; everything that it asks for is answered at once. */
  dispatch(event: RouterEvent): void {
    const waiting: RouterEvent[] = [event];
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      for (const effect of reduce(this.leader, this.now, next)) {
        const answer = this.#perform(effect);
        if (answer !== null) {
          waiting.push(answer);
        }
      }
    }
  }

  /** A follower's report comes in, as bytes. */
  report(link: number, bytes: Uint8Array): void {
    this.bytesReceived += bytes.length + FRAME_BYTES;
    const message = decodePeerMessage(bytes, 'follower');
    if (message.isOk()) {
      this.dispatch({ kind: 'peerMessage', link, message: message.value });
    }
  }

  #perform(effect: Effect): RouterEvent | null {
    const sentAt = this.now;
    switch (effect.kind) {
      case 'readObject':
        return { kind: 'objectRead', object: effect.object, sentAt, outcome: { kind: 'absent' } };
      case 'writeObject':
        this.storeWrites += 1;
        this.#revision += 1;
        return {
          kind: 'objectWritten',
          object: effect.object,
          sentAt,
          outcome: { kind: 'written', revision: this.#revision },
        };
      case 'control':
        this.serverCalls += 1;
        return {
          kind: 'controlEnded',
          callId: effect.callId,
          outcome: { kind: 'accepted', handover: null },
        };
      case 'sendToFollowers': {
        const size = encodePeerMessage(effect.message).length + FRAME_BYTES;
        this.bytesSent += size * (effect.link === null ? this.#followers : 1);
        if (effect.link === null) {
          this.broadcasts.push(effect.message);
        }
        return null;
      }
      default:
        return null;
    }
  }
}
