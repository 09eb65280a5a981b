/** A simulated daemon as tests and simulated traffic see it. */
import type { DaemonClock } from '../../../src/clock/daemon-clock.js';
import type { Effect } from '../../../src/router/effects.js';
import type { CheckConditions } from '../../../src/router/events.js';
import type { RouterState } from '../../../src/router/router-state.js';
import type { StoreFeeds } from '../../../src/router-runtime/store-feeds.js';
import type { SimulatedMachine } from './simulated-machine.js';
import type { Address } from '../../../src/router/model/address.js';
import { toAddress } from '../../support/addresses.js';

/** A daemon with the state of its current incarnation. */
export interface SimulatedDaemon {
  readonly name: string;
  readonly address: Address;
  state: RouterState;
  life: number;
  alive: boolean;
  /** How busy the daemon is while it checks paths; it is idle by default. */
  checkConditions?: CheckConditions;
  /** Whether other daemons can reach this daemon. */
  peersReachable: boolean;
  /** Whether the daemon can reach the store. */
  storeReachable: boolean;
  /** The process is paused until this time; events for it wait. */
  pausedUntil: number;
  /** A tick is due and waits until the process is idle. */
  isTickWaiting: boolean;
  readonly machine: SimulatedMachine;
  clock: DaemonClock;
  parentAddress: Address | null;
  /** The lists and watches of the daemon in the store; null before its first start. */
  feeds: StoreFeeds | null;
}

/** Returns the address at which a simulated daemon takes requests of other daemons. */
export function proxyAddressOf(address: Address): Address {
  return toAddress(address.replace(/:\d+$/, ':71'));
}

/** Performs the effects that concern callers' requests. */
export interface RequestEffectHandler {
  perform(daemon: SimulatedDaemon, effect: Effect): void;
}
