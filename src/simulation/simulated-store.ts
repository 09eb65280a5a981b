/**
 * The platform's object store in virtual time, with the same faults as the emulated store process.
 */
import type { ReadObjectEffect, WriteObjectEffect } from '../core/effects.js';
import type { ObjectReadEvent, ObjectWrittenEvent } from '../core/events.js';
import type { Milliseconds } from '../core/identifiers.js';
import { StoreModel, type StoreFault } from '../emulator/store-model.js';
import type { Endpoint, Network } from './network.js';
import type { Scheduler } from './scheduler.js';
import type { SimulatedDaemon } from './simulated-daemon.js';

const SLOW_FAULT_DELAY: Milliseconds = 2_000;
const REQUEST_TIMEOUT: Milliseconds = 3_000;
const WATCH_TIMEOUT: Milliseconds = 8_000;
const REFUSAL_DELAY: Milliseconds = 5;

/** The simulated store. */
export class SimulatedStore {
  readonly endpoint: Endpoint = { name: 'store', zone: 'platform' };
  readonly model = new StoreModel();
  fault: StoreFault = 'none';
  readonly #scheduler: Scheduler;
  readonly #network: Network;

  constructor(scheduler: Scheduler, network: Network) {
    this.#scheduler = scheduler;
    this.#network = network;
  }

  /**
   * Reads an object for a daemon; dispatches the response, or the lack of one within the timeout, as an
   * event.
   */
  read(daemon: SimulatedDaemon, effect: ReadObjectEffect): void {
    const { name, afterVersion } = effect;
    const event = (result: ObjectReadEvent['result']): ObjectReadEvent => ({
      kind: 'objectRead',
      name,
      result,
    });
    const timeout = REQUEST_TIMEOUT + (afterVersion === null ? 0 : WATCH_TIMEOUT);
    const conclude = this.#completeOnce(daemon, event, timeout);
    const answer = (): void => {
      const object = this.model.read(name);
      this.#network.deliverOnce(
        this.endpoint,
        daemon.endpoint,
        () => conclude(object),
        () => undefined,
      );
    };
    this.#deliverToStore(
      daemon,
      () => conclude(null),
      () => {
        if (afterVersion === null || this.model.read(name).version > afterVersion) {
          answer();
          return;
        }
        const cancel = this.model.waitForNewer(name, afterVersion, answer);
        this.#scheduler.after(WATCH_TIMEOUT, () => {
          cancel();
          answer();
        });
      },
    );
  }

  /** Writes an object for a daemon by compare-and-swap; dispatches the result as an event. */
  write(daemon: SimulatedDaemon, effect: WriteObjectEffect): void {
    const { name, expectedVersion, writeId, value } = effect;
    type WriteResult = Pick<ObjectWrittenEvent, 'result' | 'version'>;
    const event = (writeResult: WriteResult | null): ObjectWrittenEvent => ({
      kind: 'objectWritten',
      name,
      writeId,
      ...(writeResult ?? { result: 'unknown', version: 0 }),
    });
    const conclude = this.#completeOnce(daemon, event, REQUEST_TIMEOUT);
    const refused: WriteResult = { result: 'refused', version: 0 };
    this.#deliverToStore(
      daemon,
      () => conclude(refused),
      () => {
        const outcome = this.model.write(name, expectedVersion, writeId, value);
        if (this.fault === 'lose-answers') {
          return;
        }
        const writeResult: WriteResult =
          outcome.kind === 'written'
            ? { result: 'written', version: outcome.version }
            : { result: 'conflict', version: 0 };
        this.#network.deliverOnce(
          this.endpoint,
          daemon.endpoint,
          () => conclude(writeResult),
          () => undefined,
        );
      },
    );
  }

  /**
   * Returns a callback that completes a store request at most once: with a response, or with null on timeout.
   */
  #completeOnce<Answer, Event extends ObjectReadEvent | ObjectWrittenEvent>(
    daemon: SimulatedDaemon,
    event: (answer: Answer | null) => Event,
    timeout: Milliseconds,
  ): (answer: Answer | null) => void {
    const { life } = daemon;
    let open = true;
    const conclude = (answer: Answer | null): void => {
      if (open && daemon.life === life) {
        open = false;
        daemon.dispatch(event(answer));
      }
    };
    this.#scheduler.after(timeout, () => conclude(null));
    return conclude;
  }

  #deliverToStore(daemon: SimulatedDaemon, refuse: () => void, execute: () => void): void {
    const arrive = (): void => {
      if (this.fault === 'down') {
        this.#scheduler.after(REFUSAL_DELAY, refuse);
      } else {
        this.#scheduler.after(this.fault === 'slow' ? SLOW_FAULT_DELAY : 0, execute);
      }
    };
    this.#network.deliverOnce(daemon.endpoint, this.endpoint, arrive, () => undefined);
  }
}
