/** Gauges of the load view: demand, mean load and source, by service. */
import { Gauge, type Registry } from 'prom-client';
import { PROCESS_CLOCK } from '../clock/process-clock.js';
import { loadViewOf, servicesInLoadView } from '../router/load-view/load-view-of.js';
import type { ServiceLoadView } from '../router/load-view/load-view.js';
import type { ServiceName } from '../router/model/identifiers.js';
import type { RouterState } from '../router/router-state.js';

const GROUPS = [
  { group: 'shared', isReserved: false },
  { group: 'reserved', isReserved: true },
] as const;

function registerServiceGauge(
  { registry, state }: { registry: Registry; state: RouterState },
  description: { name: string; help: string; labelNames: string[] },
  read: (view: ServiceLoadView, service: ServiceName, gauge: Gauge) => void,
): void {
  new Gauge({
    ...description,
    registers: [registry],
    collect() {
      this.reset();
      for (const service of servicesInLoadView(state)) {
        read(loadViewOf(state, service, PROCESS_CLOCK.now()), service, this);
      }
    },
  });
}

/** Registers the gauges of the load view. */
export function registerLoadView(registry: Registry, state: RouterState): void {
  const demand = {
    name: 'fennelferry_router_load_demand_slots',
    help: 'slots that the requests of a priority keep busy, of all daemons together',
    labelNames: ['service', 'priority'],
  };
  registerServiceGauge({ registry, state }, demand, (view, service, gauge) => {
    view.priorities.forEach((priority) => gauge.set({ service, priority }, view.demandSlots(priority)));
  });
  const meanLoad = {
    name: 'fennelferry_router_load_mean_requests',
    help: 'mean number of requests, running and waiting, at a server of a group',
    labelNames: ['service', 'group'],
  };
  registerServiceGauge({ registry, state }, meanLoad, (view, service, gauge) => {
    for (const { group, isReserved } of GROUPS) {
      const load = view.meanLoad(isReserved);
      if (load !== null) {
        gauge.set({ service, group }, load);
      }
    }
  });
  const source = {
    name: 'fennelferry_router_load_view_of_fleet',
    help: '1: the load view of a service is that of all daemons; 0: this daemon uses its own counts',
    labelNames: ['service'],
  };
  registerServiceGauge({ registry, state }, source, (view, service, gauge) => {
    gauge.set({ service }, view.source === 'fleet' ? 1 : 0);
  });
}
