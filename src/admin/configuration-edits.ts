/**
 * Applies the configuration changes that statements request. Each edit returns the whole new configuration as JSON.
 */
import { err, ok, type Result } from 'neverthrow';
import type { RoutingConfiguration } from '../core/configuration/routing-configuration.js';
import { AdminError } from '../errors.js';
import type { RouteDefinition, Statement } from './language/statements.js';

export type EditStatement = Extract<Statement, { kind: 'drain' | 'setServer' | 'setRoute' | 'removeRoute' }>;

type EditableConfiguration = { groups: Record<string, unknown>[]; routes: Record<string, unknown>[] };

function cloneForEdit(configuration: RoutingConfiguration): EditableConfiguration {
  return structuredClone(configuration) as unknown as EditableConfiguration;
}

function editServer(
  configuration: RoutingConfiguration,
  server: string,
  field: string,
  value: string | number,
): Result<string, AdminError> {
  const copy = cloneForEdit(configuration);
  const servers = copy.groups.flatMap((group) => group['servers'] as Record<string, unknown>[]);
  const edited = servers.find((candidate) => candidate['id'] === server);
  if (edited === undefined) {
    return err(
      new AdminError('find server', server, `unknown server ${server}; "show servers" lists the servers`),
    );
  }
  edited[field] = value;
  return ok(JSON.stringify(copy));
}

function setRoute(configuration: RoutingConfiguration, definition: RouteDefinition): string {
  const copy = cloneForEdit(configuration);
  const { key, priority, timeoutMilliseconds, ...required } = definition;
  const route = {
    ...required,
    ...(key === null ? {} : { key }),
    ...(priority === null ? {} : { priority }),
    ...(timeoutMilliseconds === null ? {} : { timeoutMilliseconds }),
  };
  const position = copy.routes.findIndex((candidate) => candidate['name'] === definition.name);
  if (position < 0) {
    copy.routes.push(route);
  } else {
    copy.routes[position] = route;
  }
  return JSON.stringify(copy);
}

function removeRoute(configuration: RoutingConfiguration, name: string): Result<string, AdminError> {
  const copy = cloneForEdit(configuration);
  const remaining = copy.routes.filter((route) => route['name'] !== name);
  if (remaining.length === copy.routes.length) {
    return err(new AdminError('find route', name, `unknown route ${name}; "show routes" lists the routes`));
  }
  return ok(JSON.stringify({ ...copy, routes: remaining }));
}

/** Returns the configuration after the edit as JSON. */
export function editConfiguration(
  configuration: RoutingConfiguration,
  edit: EditStatement,
): Result<string, AdminError> {
  switch (edit.kind) {
    case 'drain':
      return editServer(configuration, edit.server, 'state', edit.draining ? 'draining' : 'active');
    case 'setServer':
      return editServer(configuration, edit.server, edit.field, edit.value);
    case 'setRoute':
      return ok(setRoute(configuration, edit.route));
    case 'removeRoute':
      return removeRoute(configuration, edit.name);
  }
}
