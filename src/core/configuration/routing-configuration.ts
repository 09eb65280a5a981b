/**
 * Routing configuration: groups of servers and the routes to them. It is stored as JSON in the platform's
 * store; a daemon validates it against this schema before accepting a change, and every daemon validates it
 * again before putting it in force.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { SettingsError } from '../../errors.js';
import { isAddress } from '../../settings/address.js';
import { describeSchemaErrors } from './schema-errors.js';

const nameSchema = z.string().regex(/^[a-z][a-z0-9-]*$/, 'allowed: lower-case letters, digits and dashes');
const addressSchema = z.string().refine(isAddress, 'allowed: <ip number>:<port>');
const MAXIMUM_SLOTS = 65_536;

function isPowerOfTwo(value: number): boolean {
  return (value & (value - 1)) === 0;
}

const powerOfTwoSchema = z
  .number()
  .int()
  .min(1)
  .max(MAXIMUM_SLOTS)
  .refine(isPowerOfTwo, 'allowed: a power of two');

const serverSchema = z.strictObject({
  id: nameSchema,
  address: addressSchema,
  zone: nameSchema,
  /** A draining server receives no new requests or units. */
  state: z.enum(['active', 'draining']).default('active'),
  /** Number of requests that the server runs concurrently. */
  concurrency: z.number().int().min(1).max(10_000),
  /** Number of connections that the server accepts from all daemons together. */
  connections: z.number().int().min(1).max(100_000),
  /** Share of units relative to the weights of the group's other servers. */
  weight: z.number().positive().max(1_000).default(1),
});

const groupSchema = z
  .strictObject({
    name: nameSchema,
    kind: z.enum(['keyed', 'balanced']),
    /** Number of hash slots that the keys are divided into. */
    slots: powerOfTwoSchema.default(256),
    /** Number of control shards that the hash slots are divided among; at most the number of slots. */
    shards: powerOfTwoSchema.default(1),
    /** Number of replicas of each control shard. */
    replicas: z.union([z.literal(1), z.literal(3), z.literal(5)]).default(3),
    /**
     * Percentage by which a server may exceed its fair share of units before units are moved for balance. A
     * larger value means fewer moves.
     */
    balanceTolerancePercent: z.number().min(1).max(1_000).default(10),
    /** Side that initially owns every unit; this side when absent. Other sides receive units by hand-over. */
    home: nameSchema.optional(),
    servers: z.array(serverSchema).min(1),
  })
  .refine((group) => group.shards <= group.slots, { path: ['shards'], message: 'allowed: at most slots' });

const routeSchema = z.strictObject({
  name: nameSchema,
  host: z.string().min(1).optional(),
  /** A path pattern with `:name` segments and a final `*`. */
  path: z.string().regex(/^\//, 'allowed: a path that starts with /'),
  methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])).min(1),
  group: nameSchema,
  /** Part of the request that carries the key; required for a keyed group. */
  key: z.strictObject({ from: z.enum(['path', 'header', 'query']), name: z.string().min(1) }).optional(),
  /** The request is idempotent: running it twice does no harm. */
  repeatable: z.boolean(),
  priority: z.enum(['high', 'normal', 'low']).default('normal'),
  timeoutMilliseconds: z.number().int().min(10).max(600_000).default(5_000),
});

/** Another side (site), with its own store and daemons. */
const sideSchema = z.strictObject({
  name: nameSchema,
  /** Internal addresses of some of the side's daemons, to which hand-overs are sent. */
  daemons: z.array(addressSchema).min(1),
  /** Caller-facing addresses of some of the side's daemons, to which requests for its units are forwarded. */
  gateways: z.array(addressSchema).min(1),
});

const configurationSchema = z.strictObject({
  sides: z.array(sideSchema).default([]),
  groups: z.array(groupSchema).min(1),
  routes: z.array(routeSchema),
});

export type ServerConfiguration = z.infer<typeof serverSchema>;
export type GroupConfiguration = z.infer<typeof groupSchema>;
export type SideConfiguration = z.infer<typeof sideSchema>;
export type RouteConfiguration = z.infer<typeof routeSchema>;
export type RoutingConfiguration = z.infer<typeof configurationSchema>;

/** Name of the store object that holds the routing configuration. */
export const CONFIGURATION_OBJECT = 'routing';

function duplicateNameErrors(names: readonly string[], where: string): string[] {
  const repeated = names.filter((name, index) => names.indexOf(name) !== index);
  return repeated.map((name) => `${where}: found ${name} twice; allowed: each name once`);
}

function routeErrors(configuration: RoutingConfiguration): string[] {
  const groups = new Map(configuration.groups.map((group) => [group.name, group]));
  return configuration.routes.flatMap((route, index) => {
    const group = groups.get(route.group);
    if (group === undefined) {
      const groupNames = [...groups.keys()].join(', ');
      return [`routes.${index}.group: found ${route.group}; allowed: one of ${groupNames}`];
    }
    if (group.kind === 'keyed' && route.key === undefined) {
      return [`routes.${index}.key: found nothing; allowed: a key, since group ${group.name} is keyed`];
    }
    if (route.key?.from === 'path' && !route.path.split('/').includes(`:${route.key.name}`)) {
      return [`routes.${index}.key.name: found ${route.key.name}; allowed: a :segment of ${route.path}`];
    }
    return [];
  });
}

function crossReferenceErrors(configuration: RoutingConfiguration): string[] {
  const servers = configuration.groups.flatMap((group) => group.servers);
  return [
    ...duplicateNameErrors(
      configuration.groups.map((group) => group.name),
      'groups',
    ),
    ...duplicateNameErrors(
      servers.map((server) => server.id),
      'servers',
    ),
    ...duplicateNameErrors(
      configuration.routes.map((route) => route.name),
      'routes',
    ),
    ...routeErrors(configuration),
  ];
}

/** Validates a parsed JSON value. The error lists every validation error, not only the first. */
export function validateRoutingConfiguration(value: unknown): Result<RoutingConfiguration, SettingsError> {
  const parsed = configurationSchema.safeParse(value);
  if (!parsed.success) {
    return err(
      new SettingsError('check routing configuration', 'store', describeSchemaErrors(parsed.error, value)),
    );
  }
  const faults = crossReferenceErrors(parsed.data);
  if (faults.length > 0) {
    return err(new SettingsError('check routing configuration', 'store', faults));
  }
  return ok(parsed.data);
}

/** Parses and validates the JSON text of a routing configuration. */
export function parseRoutingConfiguration(text: string): Result<RoutingConfiguration, SettingsError> {
  try {
    return validateRoutingConfiguration(JSON.parse(text));
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new SettingsError('read routing configuration', 'store', [`not JSON: ${detail}`]));
  }
}
