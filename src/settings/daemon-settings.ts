/**
 * The settings of a daemon: a YAML file whose values command-line flags may override. They are validated before the daemon starts.
 */
import { err, ok, type Result } from 'neverthrow';
import { readFileSync } from 'node:fs';
import { parseDocument } from 'yaml';
import * as z from 'zod';
import { describeSchemaErrors } from '../core/configuration/schema-errors.js';
import { SettingsError } from '../errors.js';
import { isAddress } from './address.js';

const NAME_SCHEMA = z.string().regex(/^[a-z][a-z0-9-]*$/, 'allowed: lower-case letters, digits and dashes');
const ADDRESS_SCHEMA = z.string().refine(isAddress, 'allowed: <ip number>:<port>, with a port up to 65535');

const limitsSchema = z.strictObject({
  /** Requests with a larger head are rejected with status 431. */
  headerBytes: z.number().int().min(1_024).max(1_048_576).default(16_384),
  /** Requests with a larger body are rejected with status 413. */
  bodyBytes: z.number().int().min(0).max(10_737_418_240).default(1_073_741_824),
  /** How long a planned stop waits for requests in flight. */
  drainMilliseconds: z.number().int().min(0).max(600_000).default(10_000),
});

const settingsSchema = z.strictObject({
  id: NAME_SCHEMA,
  zone: NAME_SCHEMA,
  side: NAME_SCHEMA,
  listen: z.strictObject({ http: ADDRESS_SCHEMA, admin: ADDRESS_SCHEMA, internal: ADDRESS_SCHEMA }),
  /** Internal addresses of the daemons through which this one joins the cluster. */
  seeds: z.array(ADDRESS_SCHEMA).default([]),
  store: z.string().regex(/^https?:\/\/[^/]+$/, 'allowed: http://<ip number>:<port>'),
  limits: limitsSchema.default(() => limitsSchema.parse({})),
});

/** Settings that have passed the schema. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

/** Values of flags that override the settings file. Undefined keeps the value of the file. */
export interface SettingsOverrides {
  readonly id?: string | undefined;
  readonly zone?: string | undefined;
  readonly side?: string | undefined;
  readonly http?: string | undefined;
  readonly admin?: string | undefined;
  readonly internal?: string | undefined;
  readonly store?: string | undefined;
}

function withOverrides(value: unknown, overrides: SettingsOverrides): unknown {
  const base = (typeof value === 'object' && value !== null ? value : {}) as Record<string, unknown>;
  const { http, admin, internal, ...otherOverrides } = overrides;
  const withoutUndefined = (fields: object): object =>
    Object.fromEntries(Object.entries(fields).filter(([, entry]) => entry !== undefined));
  const listenOverrides = withoutUndefined({ http, admin, internal });
  const listen =
    Object.keys(listenOverrides).length === 0
      ? base['listen']
      : { ...(base['listen'] as object), ...listenOverrides };
  return { ...base, ...withoutUndefined(otherOverrides), ...(listen === undefined ? {} : { listen }) };
}

/** Validates parsed settings. The error lists all violations of the schema at once. */
export function checkSettings(
  value: unknown,
  source: string,
  overrides: SettingsOverrides = {},
): Result<DaemonSettings, SettingsError> {
  const merged = withOverrides(value, overrides);
  const parsed = settingsSchema.safeParse(merged);
  return parsed.success
    ? ok(parsed.data)
    : err(new SettingsError('check settings', source, describeSchemaErrors(parsed.error, merged)));
}

/** Reads and validates a settings file. */
export function readSettings(
  path: string,
  overrides: SettingsOverrides = {},
): Result<DaemonSettings, SettingsError> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new SettingsError('read settings', path, [detail]));
  }
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    const faults = document.errors.map((error) => error.message.split('\n')[0] ?? error.message);
    return err(new SettingsError('read settings', path, faults));
  }
  return checkSettings(document.toJS(), path, overrides);
}
