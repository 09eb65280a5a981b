/**
 * A daemon in virtual time: runs the production reducer and lets the simulation perform its effects.
 */
import { createDaemonState, type DaemonState } from '../core/daemon-state.js';
import type { Effect } from '../core/effects.js';
import type { DaemonEvent } from '../core/events.js';
import type { DaemonId, Milliseconds } from '../core/identifiers.js';
import { reduce } from '../core/reducer.js';
import type { SafetyRules } from '../core/safety-rules.js';
import { DEFAULT_TIMING } from '../core/timing.js';
import type { Endpoint } from './network.js';
import type { Scheduler } from './scheduler.js';
import { SimulatedProcess } from './simulated-process.js';

/** Performs one effect of a daemon. */
export type EffectHandler = (daemon: SimulatedDaemon, effect: Effect) => void;
/** Inspects a daemon after each of its events. */
export type DaemonObserver = (daemon: SimulatedDaemon) => void;

/** Options of a simulated daemon. */
export interface SimulatedDaemonOptions {
  readonly endpoint: Endpoint;
  readonly side: string;
  readonly scheduler: Scheduler;
  readonly clockRate: number;
  readonly clockOffset: Milliseconds;
  readonly rules: SafetyRules;
  readonly seed: number;
  readonly seeds: readonly string[];
  readonly perform: EffectHandler;
  readonly observe: DaemonObserver;
}

/** A simulated daemon process. */
export class SimulatedDaemon extends SimulatedProcess {
  state: DaemonState;
  /** True during a planned stop: the daemon accepts no new requests. */
  stopping = false;
  readonly #options: SimulatedDaemonOptions;

  constructor(options: SimulatedDaemonOptions) {
    super(options.endpoint, options.scheduler, options.clockRate, options.clockOffset);
    this.#options = options;
    this.state = this.#newState();
    this.#scheduleTick();
  }

  /** The daemon's name, which is also its address. */
  get id(): DaemonId {
    return this.endpoint.name;
  }

  /** The side that the daemon belongs to. */
  get side(): string {
    return this.#options.side;
  }

  /** Processes one event: at once, or when the daemon resumes if it is paused. */
  dispatch(event: DaemonEvent): void {
    this.runWhenActive(() => {
      const effects = reduce(this.state, { now: this.clock, event });
      this.#options.observe(this);
      for (const effect of effects) {
        this.#options.perform(this, effect);
      }
    });
  }

  protected override onStart(): void {
    this.stopping = false;
    this.state = this.#newState();
    this.#scheduleTick();
  }

  #newState(): DaemonState {
    const { endpoint, side, seed, seeds, rules } = this.#options;
    const identity = {
      id: endpoint.name,
      incarnation: this.life,
      address: endpoint.name,
      zone: endpoint.zone,
      side,
      seeds,
      randomSeed: seed * 1_000 + this.life,
    };
    return createDaemonState(identity, rules);
  }

  #scheduleTick(): void {
    this.runAfter(DEFAULT_TIMING.tick, () => {
      this.dispatch({ kind: 'tick' });
      this.#scheduleTick();
    });
  }
}
