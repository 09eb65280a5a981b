/**
 * Decides who should own what: first assignment, evacuation of servers that leave or are lost, and moves of
 * load off servers that have too much. Pure: from a table and what is known to a new table.
 */
import { firstUnits, unitName, type OwnershipTable } from './ownership-table.js';
import type { EligibleServer, PlanInput } from './plan-input.js';
import { ServicePlan, takersOf } from './service-plan.js';

/** Servers so that neighbours in the list stand in different zones. */
function spreadZones(servers: readonly EligibleServer[]): EligibleServer[] {
  const zones = new Map<string, EligibleServer[]>();
  for (const server of [...servers].sort((left, right) => (left.id < right.id ? -1 : 1))) {
    zones.set(server.zone, [...(zones.get(server.zone) ?? []), server]);
  }
  const queues = [...zones.values()];
  const spread: EligibleServer[] = [];
  while (spread.length < servers.length) {
    for (const queue of queues) {
      const next = queue.shift();
      if (next !== undefined) {
        spread.push(next);
      }
    }
  }
  return spread;
}

/** The table as it should be for one service. Returns the same table when nothing is to change. */
export function planService(table: OwnershipTable, input: PlanInput): OwnershipTable {
  if (input.servers.length === 0) {
    return table;
  }
  if (!table.units.some((unit) => unit.service === input.service)) {
    const owners = spreadZones(takersOf(input.servers)).map((server) => server.id);
    return firstUnits(table, input.service, owners);
  }
  const plan = new ServicePlan(table, input);
  plan.evacuate();
  plan.balance();
  return plan.table;
}

/** Names of units that changed hands or were made, for the log. */
export function changedUnits(before: OwnershipTable, after: OwnershipTable): string[] {
  const known = new Set(before.units.map((unit) => `${unitName(unit)}@${unit.fence}`));
  return after.units
    .filter((unit) => !known.has(`${unitName(unit)}@${unit.fence}`))
    .map((unit) => `${unitName(unit)} to ${unit.owner}, fence ${unit.fence}`);
}
