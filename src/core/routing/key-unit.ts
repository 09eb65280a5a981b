/**
 * Extracts a request's key and maps the key to its unit of ownership.
 */
import type { GroupConfiguration, RouteConfiguration } from '../configuration/routing-configuration.js';
import { hash32 } from '../hashing.js';
import type { UnitNumber } from '../identifiers.js';
import type { RequestArrivedEvent } from '../events.js';
import type { TableView } from '../dissemination/table-view.js';

/** Returns the hash slot of a key. */
export function slotOfKey(group: GroupConfiguration, key: string): UnitNumber {
  return hash32(key) & (group.slots - 1);
}

/** Returns the unit of a key: a unit of its own if the key is pinned, its hash slot otherwise. */
export function unitOfKey(tables: TableView, group: GroupConfiguration, key: string): UnitNumber {
  return tables.pins.get(group.name)?.get(key) ?? slotOfKey(group, key);
}

/** Returns the key of a request, or undefined when the request does not carry one. */
export function keyOfRequest(
  route: RouteConfiguration,
  pathParameters: Readonly<Record<string, string>>,
  request: RequestArrivedEvent,
): string | undefined {
  if (route.key === undefined) {
    return undefined;
  }
  const { from, name } = route.key;
  if (from === 'path') {
    return pathParameters[name] || undefined;
  }
  if (from === 'query') {
    return new URLSearchParams(request.query).get(name) || undefined;
  }
  const value = request.headers[name.toLowerCase()];
  return (Array.isArray(value) ? value[0] : value) || undefined;
}
