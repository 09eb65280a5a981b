/** The links between simulated daemons. Messages of one direction of a link arrive in the order in which they were sent. */
import type { PeerMessage } from '../../../src/router/peers/messages.js';
import type { SimulatedDaemon } from './simulated-daemon.js';
import type { VirtualClock } from './virtual-clock.js';

/** An end of a link. */
export interface LinkEnd {
  readonly address: string;
}

const DEFAULT_DELAY = 1;

/** Delays what daemons send to each other. */
export class PeerLinks {
  /** One-way delay in milliseconds of every direction without a delay of its own. */
  delay = DEFAULT_DELAY;
  /** Replaces each message that a daemon sends, for example to omit fields as an earlier version does. */
  replaceMessage: (sender: SimulatedDaemon, message: PeerMessage) => PeerMessage = (_, message) => message;
  readonly #clock: VirtualClock;
  readonly #delays = new Map<string, number>();
  readonly #lastArrivals = new Map<string, number>();

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  /** Sets the one-way delay in milliseconds from a sender to a receiver, or to every receiver when that is null. */
  setDelay(sender: LinkEnd, receiver: LinkEnd | null, delay: number): void {
    this.#delays.set(`${sender.address}>${receiver?.address ?? ''}`, delay);
  }

  /** Runs an action when something that the sender sends now arrives at the receiver. */
  send(sender: LinkEnd, receiver: LinkEnd, arrive: () => void): void {
    const direction = `${sender.address}>${receiver.address}`;
    const arrival = Math.max(
      this.#clock.now + this.#delayOf(sender, receiver),
      this.#lastArrivals.get(direction) ?? 0,
    );
    this.#lastArrivals.set(direction, arrival);
    this.#clock.schedule(arrival - this.#clock.now, arrive);
  }

  /** Whether a direction takes longer than by default. */
  isDelayed(sender: LinkEnd, receiver: LinkEnd): boolean {
    return this.#delayOf(sender, receiver) > DEFAULT_DELAY;
  }

  #delayOf(sender: LinkEnd, receiver: LinkEnd): number {
    const own = this.#delays.get(`${sender.address}>${receiver.address}`);
    return own ?? this.#delays.get(`${sender.address}>`) ?? this.delay;
  }
}
