/**
 * Plans which server owns which keys: the first assignment, the reassignment of units whose servers leave or
 * are lost, and moves of load off busy servers. The plan is a pure function from a table and the known
 * servers and load to a new table.
 */
import { addInitialUnits, unitName, type OwnershipTable } from './ownership-table.js';
import type { EligibleServer, PlanInput } from './plan-input.js';
import { preferredTargets } from './service-load.js';
import { ServicePlan } from './service-plan.js';

/** Orders servers so that neighbours in the list are in different zones. */
function interleaveZones(servers: readonly EligibleServer[]): EligibleServer[] {
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

/** Returns the planned table for one service, or the same table if nothing is to change. */
export function planService(table: OwnershipTable, input: PlanInput): OwnershipTable {
  if (input.servers.length === 0) {
    return table;
  }
  if (!table.units.some((unit) => unit.service === input.service)) {
    const owners = interleaveZones(preferredTargets(input.servers)).map((server) => server.id);
    return owners.length === 0 ? table : addInitialUnits(table, input.service, owners);
  }
  const plan = new ServicePlan(table, input);
  plan.reassignFromIneligibleServers();
  plan.balance();
  // Any change needs a write to the store, which then carries the rejoining as well.
  if (plan.table !== table || input.isRejoiningDue) {
    plan.rejoin();
  }
  return plan.table;
}

/** Returns log descriptions of the units that changed owner or were created. */
export function describeChangedUnits(before: OwnershipTable, after: OwnershipTable): string[] {
  const known = new Set(before.units.map((unit) => `${unitName(unit)}@${unit.fence}`));
  return after.units
    .filter((unit) => !known.has(`${unitName(unit)}@${unit.fence}`))
    .map((unit) => `${unitName(unit)} to ${unit.owner}, fence ${unit.fence}`);
}
