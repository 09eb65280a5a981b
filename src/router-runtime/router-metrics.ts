/** Counters, gauges and latency histograms in the Prometheus text format, through the `prom-client` library. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import { ROUTER_COUNTER_NAMES } from '../router/counters.js';
import type { RequestEndedEffect } from '../router/effects.js';
import { describeLimitOverview, type LimitOverview } from '../router/limits/limit-overview.js';
import { storeDataAge } from '../router/news/store-data-age.js';
import { RouterContext } from '../router/router-context.js';
import type { RouterState } from '../router/router-state.js';
import { sampleMemory } from './memory-monitor.js';
import { registerLoadView } from './load-view-metrics.js';

const MILLISECONDS_PER_SECOND = 1_000;
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5];

const LOOP_DELAY_BUCKETS_SECONDS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];

const UNKNOWN_AGE = -1;

/** The metrics of one daemon. */
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

  /** @param eventHandlingTimes total handling time of each kind of event in milliseconds; read at each scrape */
  constructor(state: RouterState, eventHandlingTimes: ReadonlyMap<string, number>) {
    this.#registerEventTimes(eventHandlingTimes);
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
    this.#registerGauge('configuration_version', () => state.configuration?.version ?? 0);
    this.#registerGauge('servers', () => state.servers.size);
    this.#registerGauge('servers_revision', () => state.serversRevision ?? 0);
    this.#registerGauge('ownership_term', () => state.ownershipView.term);
    this.#registerGauge('units', () => state.ownershipView.units.length);
    this.#registerGauge(
      'units_without_grant',
      () => state.ownershipView.units.filter((unit) => !unit.granted).length,
    );
    this.#registerGauge('leads', () => (state.leadership === null ? 0 : 1));
    this.#registerGauge('suspected_requests', () => state.crashTable.suspicionCount);
    this.#registerGauge(
      'requests_in_quarantine',
      () => state.crashTable.quarantines(PROCESS_CLOCK.now()).length,
    );
    this.#registerGauge('requests_in_flight', () => state.requests.size);
    this.#registerGauge(
      'news_age_seconds',
      () => storeDataAge(new RouterContext(state, PROCESS_CLOCK.now())) / MILLISECONDS_PER_SECOND,
    );
    this.#registerFeedAges(state);
    this.#registerLimits(state);
    registerLoadView(this.registry, state);
    this.#registerReservedServers(state);
    this.#registerGauge('resident_bytes', () => sampleMemory().resident);
    this.#registerGauge('heap_used_bytes', () => sampleMemory().heapUsed);
    this.#registerGauge('heap_limit_bytes', () => sampleMemory().heapLimit);
    this.#registerGauge('external_bytes', () => sampleMemory().external);
  }

  #registerEventTimes(eventHandlingTimes: ReadonlyMap<string, number>): void {
    new Counter({
      name: 'fennelferry_router_event_seconds_total',
      help: 'time that events of each kind have taken',
      labelNames: ['event'],
      registers: [this.registry],
      collect() {
        this.reset();
        eventHandlingTimes.forEach((time, event) => this.inc({ event }, time / MILLISECONDS_PER_SECOND));
      },
    });
  }

  /** Registers the time since the store's last response to each feed that is followed. */
  #registerFeedAges(state: RouterState): void {
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

  /** Registers the number of reserved servers of each service that has any, or had one since this daemon's start. */
  #registerReservedServers(state: RouterState): void {
    new Gauge({
      name: 'fennelferry_router_reserved_servers',
      help: 'servers reserved for the most urgent requests of a service',
      labelNames: ['service'],
      registers: [this.registry],
      collect() {
        for (const [service, { reserved }] of state.serviceProfiles) {
          if (reserved.wasUsed) {
            this.set({ service }, reserved.size);
          }
        }
      },
    });
  }

  /** Registers the servers' rate limits, and the permits that this daemon grants for them while it is the leader. */
  #registerLimits(state: RouterState): void {
    this.#registerGauge('limited_servers', () => state.limits.inForce.size);
    const registerServerGauge = (
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
    registerServerGauge(
      'server_limit',
      'requests a second that a server takes from all daemons',
      ({ limit }) => limit,
    );
    registerServerGauge(
      'server_permits',
      'permits a second that this daemon, the leader, has granted for it lately',
      ({ shares }) => shares?.reduce((sum, share) => sum + share.permitsPerSecond, 0) ?? null,
    );
  }

  /** Records by how many milliseconds a tick was late. */
  observeLoopDelay(delay: number): void {
    this.#loopDelay.observe(delay / MILLISECONDS_PER_SECOND);
  }

  /** Records the duration of a finished request. */
  observeRequest({ outcome, duration }: RequestEndedEffect): void {
    this.#latency.observe({ outcome }, duration / MILLISECONDS_PER_SECOND);
  }

  #registerGauge(name: string, read: () => number): void {
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
