/** Reads a router daemon's settings from a YAML or JSON file and validates them against a schema before anything starts. */
import { err, ok, type Result } from 'neverthrow';
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import * as z from 'zod';
import { describeSchemaErrors } from '../core/configuration/schema-errors.js';
import { SettingsError } from '../errors.js';
import { addressSchema } from './model/address.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Long enough for any update to pass through the propagation tree after the loss of the leader. */
const DEFAULT_CONTACT_MILLISECONDS = 3_000;
const nameSchema = z.string().min(1);
/** A duration that the file gives in seconds, converted to milliseconds. */
const durationSchema = z
  .number()
  .min(0)
  .max(86_400)
  .transform((seconds) => seconds * MILLISECONDS_PER_SECOND);

const settingsSchema = z.object({
  daemon: nameSchema,
  /** Whether the whole deployment starts for the first time. */
  firstStart: z.boolean().default(false),
  zone: nameSchema,
  listen: z.object({
    /** Address for callers' requests. */
    http: addressSchema,
    /** Address of the readiness check: whether this daemon accepts callers' requests. */
    readiness: addressSchema,
    /** Address of metrics and state, for operators. */
    admin: addressSchema,
    /** Address for the other daemons. */
    peers: addressSchema,
    /** Address for requests that other daemons send here for their callers. Null: this daemon takes none. */
    proxy: addressSchema.nullable().default(null),
  }),
  store: z.object({
    address: addressSchema,
    /** How long the store retains changes for watches. */
    history: durationSchema,
  }),
  limits: z.object({ memoryMegabytes: z.number().positive() }),
  processor: z
    .object({
      /** Fraction of a core that the process may use. */
      share: z.number().positive(),
      /** Speed of that core relative to a standard one. */
      speed: z.number().positive(),
    })
    .default({ share: 1, speed: 1 }),
  timing: z.object({
    /** Longest duration of a planned stop. */
    stopGrace: durationSchema,
    /** Time after which a draining server gets no new work. */
    drain: durationSchema,
    /** Daemons that have been connected for this long know the updates of the others. */
    contact: durationSchema.default(DEFAULT_CONTACT_MILLISECONDS),
    /** Time within which a new configuration takes effect. */
    configuration: durationSchema,
    /** The longest lease that a server accepts. */
    longestLease: durationSchema,
    /** Time after which servers of an evacuated zone get no requests; null: zones are not evacuated. */
    evacuation: durationSchema.nullable().default(null),
    retryWindow: durationSchema,
  }),
  /** Requests a second that a cold server may get: `factor` times its cold request rate, plus `slack`. Null: as a warm one. */
  coldStart: z
    .object({ factor: z.number().min(0).max(100).nullable(), slack: z.number().min(0).nullable() })
    .default({ factor: null, slack: null })
    .transform(({ factor, slack }) => (factor === null || slack === null ? null : { factor, slack })),
  retries: z.object({ ratio: z.number().min(0).max(10), extra: z.number().min(0) }),
});

/** Validated settings. Durations are in milliseconds. */
export type RouterSettings = z.infer<typeof settingsSchema>;

/** Validates parsed settings. The error lists all violations at once. Unknown fields are ignored. */
export function checkRouterSettings(value: unknown, source: string): Result<RouterSettings, SettingsError> {
  const parsed = settingsSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(new SettingsError('check settings', source, describeSchemaErrors(parsed.error, value)));
}

/** Reads and validates a settings file. */
export function readRouterSettings(path: string): Result<RouterSettings, SettingsError> {
  try {
    return checkRouterSettings(parse(readFileSync(path, 'utf8')), path);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new SettingsError('read settings', path, [detail]));
  }
}
