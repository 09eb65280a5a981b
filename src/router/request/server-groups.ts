/**
 * Load of the reserved and the shared servers of a balanced service. A server without a recent load report is assumed to have the mean load
 * of its group: assumed to be idle, it would attract requests from all daemons at once.
 */
import type { ServiceLoadView } from '../load-view/load-view.js';
import type { Milliseconds } from '../model/identifiers.js';

/** The weight of a load report in this daemon's own mean decays by a factor of e in this time. */
const OWN_MEAN_TIME: Milliseconds = 1_000;
/** The same while there is a mean over all daemons, which is half a second old: the own reports say what has changed since. */
const RECENT_REPORT_TIME: Milliseconds = 300;
/** Weight of an assumed idle server in the own mean, so that the mean falls to zero when no reports come any more. */
const IDLE_WEIGHT = 0.2;
/**
 * Weight of the mean over all daemons, in reports of this daemon. With that mean alone all daemons sent and stopped at the same times, and a
 * surge had up to a fifth of the sends rejected.
 */
const FLEET_WEIGHT = 0.3;
/** Weight of one answer in the mean work time of the requests at a group's servers. */
const QUEUE_WORK_WEIGHT = 0.05;
/** The estimate for an owner of keys decays by a factor of e in this time. */
const OWNER_LOAD_DECAY_TIME: Milliseconds = 400;
/** The estimate for a balanced server decays by a factor of e in this many mean work times, in which the requests at it are replaced. */
const LOAD_DECAY_WORK_TIMES = 2;

/** Mean of values, of which recent ones count more. */
class RecentMean {
  readonly #time: Milliseconds;
  #sum = 0;
  #weight = 0;
  #updatedAt: Milliseconds = 0;

  /** @param time time in which a value's weight decays by a factor of e */
  constructor(time: Milliseconds) {
    this.#time = time;
  }

  add(value: number, now: Milliseconds): void {
    const decay = this.#decay(now);
    this.#sum = this.#sum * decay + value;
    this.#weight = this.#weight * decay + 1;
    this.#updatedAt = now;
  }

  /** Returns the mean, together with a value of the given weight that was known before. */
  at(now: Milliseconds, prior: number, priorWeight: number): number {
    const decay = this.#decay(now);
    return (this.#sum * decay + prior * priorWeight) / (this.#weight * decay + priorWeight);
  }

  #decay(now: Milliseconds): number {
    return Math.exp((this.#updatedAt - now) / this.#time);
  }
}

/** Load of one group. */
class ServerGroup {
  /** Mean number of other daemons' requests at a server; 0 for owners of keys. */
  otherRequests = 0;
  /** Mean work time of the requests at the servers; null before the first answer. */
  queueWork: Milliseconds | null = null;
  readonly #ownMean = new RecentMean(OWN_MEAN_TIME);
  readonly #recentMean = new RecentMean(RECENT_REPORT_TIME);

  add(otherRequests: number, now: Milliseconds): void {
    this.#ownMean.add(otherRequests, now);
    this.#recentMean.add(otherRequests, now);
  }

  /** Updates the mean of other daemons' requests, with the mean over all daemons if it is known. */
  update(fleetMean: number | null, now: Milliseconds): void {
    this.otherRequests =
      fleetMean === null
        ? this.#ownMean.at(now, 0, IDLE_WEIGHT)
        : this.#recentMean.at(now, fleetMean, FLEET_WEIGHT);
  }
}

export class ServerGroups {
  /** Time in which the estimate of other daemons' requests at a server decays by a factor of e. */
  loadDecayTime: Milliseconds = OWNER_LOAD_DECAY_TIME;
  readonly #reserved = new ServerGroup();
  readonly #shared = new ServerGroup();

  /** Records the number of other daemons' requests that a server reported. */
  recordReport(isReserved: boolean, otherRequests: number, now: Milliseconds): void {
    this.#group(isReserved).add(otherRequests, now);
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
    const mean = view.meanLoad(isReserved);
    this.#group(isReserved).update(mean === null ? null : mean * othersShare, now);
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
