/**
 * A server in virtual time: shares the model of grants and leases with the emulated server process, and adds
 * concurrency slots and service times.
 */
import type { FencingToken } from '../core/effects.js';
import type { Milliseconds } from '../core/identifiers.js';
import type { ControlReply, ControlRequest } from '../core/server-control.js';
import { ServerModel, type RequestRefusal } from '../emulator/server-model.js';
import { SimulatedProcess } from './simulated-process.js';

const SERVICE_TIME: Milliseconds = 2;
const MAX_QUEUE_LENGTH = 64;

/** The result of a request at a server. */
export type ServiceResult =
  { readonly kind: 'ran' } | { readonly kind: 'refused'; readonly reason: RequestRefusal };

/** A simulated server process. */
export class SimulatedServer extends SimulatedProcess {
  model = new ServerModel(1);
  slots = 2;
  /** Called for every request that takes effect. */
  onRun: (callId: number) => void = () => undefined;
  /** Called for every request that is admitted. */
  onAdmit: () => void = () => undefined;
  #running = 0;
  #queue: (() => void)[] = [];

  /** Handles a leader's control request. */
  control(request: ControlRequest): ControlReply {
    return this.model.control(request, this.clock);
  }

  /** Serves a request; calls `done` with the result, unless the server crashes first. */
  serve(callId: number, token: FencingToken | null, done: (result: ServiceResult) => void): void {
    const refusal =
      this.#queue.length >= MAX_QUEUE_LENGTH ? 'overloaded' : this.model.admit(token, this.clock);
    if (refusal !== null) {
      done({ kind: 'refused', reason: refusal });
      return;
    }
    this.onAdmit();
    this.#queue.push(() => this.#run(callId, token, done));
    this.#startNext();
  }

  protected override onStart(): void {
    this.model = new ServerModel(this.model.incarnation + 1);
    this.#running = 0;
    this.#queue = [];
  }

  #startNext(): void {
    if (this.#running < this.slots) {
      const next = this.#queue.shift();
      if (next !== undefined) {
        this.#running += 1;
        next();
      }
    }
  }

  #run(callId: number, token: FencingToken | null, done: (result: ServiceResult) => void): void {
    this.runAfter(SERVICE_TIME, () => {
      const mayRun = this.model.mayTakeEffect(token, this.clock);
      this.model.finish(token);
      this.#running -= 1;
      if (mayRun) {
        this.onRun(callId);
      }
      done(mayRun ? { kind: 'ran' } : { kind: 'refused', reason: 'lease-lapsed' });
      this.#startNext();
    });
  }
}
