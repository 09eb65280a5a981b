/** Delivers daemons' control calls and path checks to simulated servers, and their outcomes to the daemons. */
import type { SeededRandom } from '../../../src/core/random.js';
import type { CheckPathEffect, ControlEffect } from '../../../src/router/effects.js';
import type { RouterEvent } from '../../../src/router/events.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import {
  type CallFaults,
  receiverOf,
  simulateCall,
  IDLE_CONDITIONS,
  simulatePathCheck,
  type SimulatedServer,
} from './simulated-server.js';
import type { VirtualClock } from './virtual-clock.js';

/** Outcomes of a control call for which the intended server responded. */
const ANSWERED_OUTCOMES: ReadonlySet<string> = new Set(['accepted', 'higherFence', 'rejected']);

/** Delivers an event to the incarnation of a daemon that existed when the call was sent. */
type Deliver = (daemon: SimulatedDaemon, life: number, event: RouterEvent) => void;

export class SimulatedCalls {
  readonly faults: CallFaults = { lateCallShare: 0 };
  readonly #clock: VirtualClock;
  readonly #random: SeededRandom;
  readonly #servers: readonly SimulatedServer[];
  readonly #deliver: Deliver;

  constructor(
    clock: VirtualClock,
    random: SeededRandom,
    servers: readonly SimulatedServer[],
    deliver: Deliver,
  ) {
    this.#clock = clock;
    this.#random = random;
    this.#servers = servers;
    this.#deliver = deliver;
  }

  /** Makes a call once the daemon's process is idle: until then nothing is written to the connection, and a call that times out never is. */
  callServer(daemon: SimulatedDaemon, effect: ControlEffect): void {
    const { life } = daemon;
    const sentAt = daemon.clock.now();
    const wait = daemon.machine.timeUntilIdle();
    if (wait > effect.timeout) {
      const outcome = { kind: 'unanswered', reason: 'the call was never written' } as const;
      this.#clock.schedule(wait, () =>
        this.#deliver(daemon, life, { kind: 'controlEnded', callId: effect.callId, outcome }),
      );
    } else if (wait > 0) {
      this.#clock.schedule(wait, () => this.#write(daemon, effect, sentAt));
    } else {
      this.#write(daemon, effect, sentAt);
    }
  }

  #write(daemon: SimulatedDaemon, effect: ControlEffect, sentAt: number): void {
    const { life, name } = daemon;
    const receiver = receiverOf(this.#servers, effect.address);
    simulateCall(this.#clock, this.#random, receiver, effect, this.faults, name, (outcome) => {
      if (receiver !== undefined && ANSWERED_OUTCOMES.has(outcome.kind)) {
        const { server } = effect;
        this.#deliver(daemon, life, { kind: 'serverLimitRead', server, reading: receiver.limit, sentAt });
      }
      this.#deliver(daemon, life, { kind: 'controlEnded', callId: effect.callId, outcome });
    });
  }

  checkPath(daemon: SimulatedDaemon, { address, checkId, timeout }: CheckPathEffect): void {
    const { life, name } = daemon;
    const receiver = receiverOf(this.#servers, address);
    simulatePathCheck(this.#clock, receiver, name, timeout, (failure) =>
      this.#deliver(daemon, life, {
        kind: 'pathChecked',
        checkId,
        failure,
        ...(daemon.checkConditions ?? IDLE_CONDITIONS),
      }),
    );
  }
}
