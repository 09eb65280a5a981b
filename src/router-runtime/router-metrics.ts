/** Counters, gauges and latency histograms in the Prometheus text form, by the `prom-client` library. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import { ROUTER_COUNTER_NAMES } from '../router/counters.js';
import type { RequestEndedEffect } from '../router/effects.js';
import { describeLimitOverview, type LimitOverview } from '../router/limits/limit-overview.js';
import { storeDataAge } from '../router/news/store-data-age.js';
import { RouterContext } from '../router/router-context.js';
import type { RouterState } from '../router/router-state.js';

const MILLISECONDS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5];

const LOOP_DELAY_BUCKETS_SECONDS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];

const UNKNOWN_AGE = -1;

/** The figures of one daemon. */
export class RouterMetrics {
  readonly registry = new Registry();
  readonly #latency = new Histogram({
    name: 'fennelferry_router_request_seconds',
    help: 'time from the whole request to the end of its answer, by outcome',
    labelNames: ['outcome'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  readonly #loopDelay = new Histogram({
    name: 'fennelferry_router_loop_delay_seconds',
    help: 'how late the regular tick of the event loop was: what sockets receive meanwhile waits unread',
    buckets: LOOP_DELAY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  /** @param eventTimes milliseconds that events of each kind have taken; read at each request for the figures */
  constructor(state: RouterState, eventTimes: ReadonlyMap<string, number>) {
    this.#eventTimes(eventTimes);
    for (const name of ROUTER_COUNTER_NAMES) {
      new Counter({
        name: `fennelferry_router_${name}_total`,
        help: name.replaceAll('_', ' '),
        registers: [this.registry],
        collect() {
          this.reset();
          this.inc(state.counters[name]);
        },
      });
    }
    this.#gauge('configuration_version', () => state.configuration?.version ?? 0);
    this.#gauge('servers', () => state.servers.size);
    this.#gauge('servers_revision', () => state.serversRevision ?? 0);
    this.#gauge('ownership_term', () => state.ownershipView.term);
    this.#gauge('units', () => state.ownershipView.units.length);
    this.#gauge(
      'units_without_grant',
      () => state.ownershipView.units.filter((unit) => !unit.granted).length,
    );
    this.#gauge('leads', () => (state.leadership === null ? 0 : 1));
    this.#gauge('suspected_requests', () => state.crashTable.suspicionCount);
    this.#gauge('requests_in_quarantine', () => state.crashTable.quarantines(PROCESS_CLOCK.now()).length);
    this.#gauge('requests_in_flight', () => state.requests.size);
    this.#gauge(
      'news_age_seconds',
      () => storeDataAge(new RouterContext(state, PROCESS_CLOCK.now())) / MILLISECONDS_PER_SECOND,
    );
    this.#feedAges(state);
    this.#limits(state);
    this.#gauge('resident_bytes', () => process.memoryUsage.rss());
  }

  #eventTimes(eventTimes: ReadonlyMap<string, number>): void {
    new Counter({
      name: 'fennelferry_router_event_seconds_total',
      help: 'time that events of each kind have taken',
      labelNames: ['event'],
      registers: [this.registry],
      collect() {
        this.reset();
        eventTimes.forEach((time, event) => this.inc({ event }, time / MILLISECONDS_PER_SECOND));
      },
    });
  }

  /** Age of the store's last answer to each feed that is followed. */
  #feedAges(state: RouterState): void {
    new Gauge({
      name: 'fennelferry_router_feed_age_seconds',
      help: "seconds since the store last answered a feed's list or watch; -1: not followed, or never",
      labelNames: ['feed'],
      registers: [this.registry],
      collect() {
        for (const [feed, { answeredAt }] of Object.entries(state.feeds)) {
          const isKnown = state.followsStore && Number.isFinite(answeredAt);
          const age = (PROCESS_CLOCK.now() - answeredAt) / MILLISECONDS_PER_SECOND;
          this.set({ feed }, isKnown ? age : UNKNOWN_AGE);
        }
      },
    });
  }

  /** Servers that name limits, and the permits that this daemon grants for them where it leads. */
  #limits(state: RouterState): void {
    this.#gauge('limited_servers', () => state.limits.inForce.size);
    const gaugeByServer = (
      name: string,
      help: string,
      read: (limit: LimitOverview) => number | null,
    ): void => {
      new Gauge({
        name: `fennelferry_router_${name}`,
        help,
        labelNames: ['server'],
        registers: [this.registry],
        collect() {
          this.reset();
          for (const limit of describeLimitOverview(state, PROCESS_CLOCK.now())) {
            const value = read(limit);
            if (value !== null) {
              this.set({ server: limit.server }, value);
            }
          }
        },
      });
    };
    gaugeByServer(
      'server_limit',
      'requests a second that a server takes from all daemons',
      ({ limit }) => limit,
    );
    gaugeByServer(
      'server_permits',
      'permits a second that this daemon, the leader, has granted for it lately',
      ({ shares }) => shares?.reduce((sum, share) => sum + share.permitsPerSecond, 0) ?? null,
    );
  }

  /** Takes in how late a tick was, in milliseconds. */
  loopDelayed(delay: number): void {
    this.#loopDelay.observe(delay / MILLISECONDS_PER_SECOND);
  }

  /** Takes in the end of a request. */
  requestEnded({ outcome, duration }: RequestEndedEffect): void {
    this.#latency.observe({ outcome }, duration / MILLISECONDS_PER_SECOND);
  }

  #gauge(name: string, read: () => number): void {
    new Gauge({
      name: `fennelferry_router_${name}`,
      help: name.replaceAll('_', ' '),
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
