/** Metrics of the data in transfer between callers and servers. */
import { Counter, Gauge, type Registry } from 'prom-client';
import type { TransferStatistics } from './transfer-limits.js';

/** Registers the metrics, which are read at each scrape. */
export function registerTransferMetrics(registry: Registry, transfers: TransferStatistics): void {
  new Gauge({
    name: 'fennelferry_router_held_for_callers_bytes',
    help: 'bytes of answers that callers have not read',
    registers: [registry],
    collect() {
      this.set(transfers.heldForCallers);
    },
  });
  new Gauge({
    name: 'fennelferry_router_held_for_servers_bytes',
    help: 'bytes of request bodies that are kept until their requests have ended',
    registers: [registry],
    collect() {
      this.set(transfers.heldForServers);
    },
  });
  new Counter({
    name: 'fennelferry_router_transfer_aborts_total',
    help: 'requests and answers that were ended early, by reason',
    labelNames: ['reason'],
    registers: [registry],
    collect() {
      this.reset();
      transfers.aborts.forEach((count, reason) => this.inc({ reason }, count));
    },
  });
}
