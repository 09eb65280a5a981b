/**
 * Load of the reserved and the shared servers of a balanced service. A server without a recent load report is assumed to have the mean load
 * of its group: assumed to be idle, it would attract requests from all daemons at once.
 */
import type { ServiceLoadView } from '../load-view/load-view.js';
import type { Milliseconds } from '../model/identifiers.js';

/** The weight of a load report in this daemon's own mean decays by a factor of e in this time. */
const OWN_MEAN_TIME: Milliseconds = 1_000;
/** Weight of an assumed idle server in the own mean, so that the mean falls to zero when no reports come any more. */
const IDLE_WEIGHT = 0.2;
/** Weight of one answer in the mean work time of the requests at a group's servers. */
const QUEUE_WORK_WEIGHT = 0.05;
/** The estimate for an owner of keys decays by a factor of e in this time. */
const OWNER_LOAD_DECAY_TIME: Milliseconds = 400;
/** The estimate for a balanced server decays by a factor of e in this many mean work times, in which the requests at it are replaced. */
const LOAD_DECAY_WORK_TIMES = 2;

/** Mean of values over about the last second. */
class RecentMean {
  #sum = 0;
  #weight = 0;
  #updatedAt: Milliseconds = 0;

  add(value: number, now: Milliseconds): void {
    const decay = this.#decay(now);
    this.#sum = this.#sum * decay + value;
    this.#weight = this.#weight * decay + 1;
    this.#updatedAt = now;
  }

  at(now: Milliseconds): number {
    const decay = this.#decay(now);
    return (this.#sum * decay) / (this.#weight * decay + IDLE_WEIGHT);
  }

  #decay(now: Milliseconds): number {
    return Math.exp((this.#updatedAt - now) / OWN_MEAN_TIME);
  }
}

/** Load of one group. */
class ServerGroup {
  /** Mean number of other daemons' requests at a server; 0 for owners of keys. */
  otherRequests = 0;
  /** Mean work time of the requests at the servers; null before the first answer. */
  queueWork: Milliseconds | null = null;
  readonly ownMean = new RecentMean();
}

export class ServerGroups {
  /** Time in which the estimate of other daemons' requests at a server decays by a factor of e. */
  loadDecayTime: Milliseconds = OWNER_LOAD_DECAY_TIME;
  readonly #reserved = new ServerGroup();
  readonly #shared = new ServerGroup();

  /** Records the number of other daemons' requests that a server reported. */
  recordReport(isReserved: boolean, otherRequests: number, now: Milliseconds): void {
    this.#group(isReserved).ownMean.add(otherRequests, now);
  }

  /** Records an answer to a request whose route has the given mean work time. */
  recordAnswer(isReserved: boolean, workTime: Milliseconds): void {
    const group = this.#group(isReserved);
    const former = group.queueWork ?? workTime;
    group.queueWork = former + (workTime - former) * QUEUE_WORK_WEIGHT;
  }

  /** Updates the mean loads of a balanced service. */
  update(view: ServiceLoadView, daemons: number, workTime: Milliseconds, now: Milliseconds): void {
    this.loadDecayTime = LOAD_DECAY_WORK_TIMES * workTime;
    // The mean of the view includes this daemon's own requests, which are counted exactly.
    const othersShare = 1 - 1 / Math.max(1, daemons);
    this.#update(true, view, othersShare, now);
    this.#update(false, view, othersShare, now);
  }

  #update(isReserved: boolean, view: ServiceLoadView, othersShare: number, now: Milliseconds): void {
    const group = this.#group(isReserved);
    const mean = view.meanLoad(isReserved);
    group.otherRequests = mean === null ? group.ownMean.at(now) : mean * othersShare;
  }

  /** Mean number of other daemons' requests at a server of a group. */
  otherRequests(isReserved: boolean): number {
    return this.#group(isReserved).otherRequests;
  }

  /** Mean work time of the requests at the servers of a group; null: unknown. */
  queueWork(isReserved: boolean): Milliseconds | null {
    return this.#group(isReserved).queueWork;
  }

  #group(isReserved: boolean): ServerGroup {
    return isReserved ? this.#reserved : this.#shared;
  }
}
