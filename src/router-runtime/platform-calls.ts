/** Performs calls to servers and to the store, and dispatches their outcomes as events. */
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import type { ControlEffect, ReadObjectEffect, WriteObjectEffect } from '../router/effects.js';
import type { RouterEvent } from '../router/events.js';
import type { Platform } from '../router/ports.js';

export class PlatformCalls {
  readonly #platform: Platform;
  readonly #dispatch: (event: RouterEvent) => void;

  constructor(platform: Platform, dispatch: (event: RouterEvent) => void) {
    this.#platform = platform;
    this.#dispatch = dispatch;
  }

  callServer(effect: ControlEffect): void {
    void this.#callServer(effect);
  }

  readObject(effect: ReadObjectEffect): void {
    void this.#readObject(effect);
  }

  writeObject(effect: WriteObjectEffect): void {
    void this.#writeObject(effect);
  }

  async #callServer(effect: ControlEffect): Promise<void> {
    const sentAt = PROCESS_CLOCK.now();
    const { server } = effect;
    const outcome = await this.#platform.control.call(effect, {
      onNotice: (notice) => this.#dispatch({ kind: 'serverNoticed', server, notice }),
      onLimitRead: (reading) => this.#dispatch({ kind: 'serverLimitRead', server, reading, sentAt }),
    });
    this.#dispatch({ kind: 'controlEnded', callId: effect.callId, outcome });
  }

  async #readObject({ object }: ReadObjectEffect): Promise<void> {
    const sentAt = PROCESS_CLOCK.now();
    const outcome = await this.#platform.store.read(object);
    this.#dispatch({ kind: 'objectRead', object, sentAt, outcome });
  }

  async #writeObject({ object, value, revision }: WriteObjectEffect): Promise<void> {
    const sentAt = PROCESS_CLOCK.now();
    const outcome = await this.#platform.store.write(object, value, revision);
    this.#dispatch({ kind: 'objectWritten', object, sentAt, outcome });
  }
}
