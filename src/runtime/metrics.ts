/**
 * Counters and gauges in the Prometheus text format, by the `prom-client` library.
 */
import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client';
import { COUNTER_NAMES } from '../core/counters.js';
import type { DaemonState } from '../core/daemon-state.js';
import { aliveMembers } from '../core/membership/membership.js';

/** Creates a registry that reads a daemon's state at each collection. */
export function createMetrics(state: DaemonState): Registry {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  for (const name of COUNTER_NAMES) {
    new Counter({
      name: `fennelferry_${name}_total`,
      help: name.replaceAll('_', ' '),
      registers: [registry],
      collect() {
        this.reset();
        this.inc(state.counters[name]);
      },
    });
  }
  addGauge(registry, 'configuration_version', () => state.configuration.version);
  addGauge(registry, 'members_alive', () => aliveMembers(state.membership).length);
  addGauge(registry, 'shards_led', () => state.leaderships.size);
  addGauge(registry, 'requests_in_flight', () => state.requests.active.size);
  addGauge(registry, 'requests_held', () => state.requests.held.size);
  return registry;
}

function addGauge(registry: Registry, name: string, read: () => number): void {
  new Gauge({
    name: `fennelferry_${name}`,
    help: name.replaceAll('_', ' '),
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
