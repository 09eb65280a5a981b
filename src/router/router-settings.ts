/** The settings of a router daemon: a YAML or JSON file, checked by a schema before anything starts. */
import { err, ok, type Result } from 'neverthrow';
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import * as z from 'zod';
import { describeFaults } from '../core/configuration/schema-faults.js';
import { SettingsError } from '../errors.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Long enough for word of anything to pass through the tree after the loss of the leader. */
const DEFAULT_CONTACT_MILLISECONDS = 3_000;
const NAME = z.string().min(1);
const ADDRESS = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'allowed: <ip number>:<port>');
/** Written in seconds, kept in milliseconds. */
const SECONDS = z
  .number()
  .min(0)
  .max(86_400)
  .transform((seconds) => seconds * MILLISECONDS_PER_SECOND);

const settingsSchema = z.object({
  daemon: NAME,
  /** The whole deployment starts for the first time. */
  firstStart: z.boolean().default(false),
  zone: NAME,
  listen: z.object({
    /** For callers. */
    http: ADDRESS,
    /** Answers whether this daemon takes callers. */
    readiness: ADDRESS,
    /** Metrics and state, for operators. */
    admin: ADDRESS,
    /** For the other daemons. */
    peers: ADDRESS,
  }),
  store: z.object({
    address: ADDRESS,
    /** How long the store remembers changes for watches. */
    history: SECONDS,
  }),
  limits: z.object({ memoryMegabytes: z.number().positive() }),
  processor: z
    .object({
      /** Share of a core that the process may use. */
      share: z.number().positive(),
      /** How many times as fast as usual that core is. */
      speed: z.number().positive(),
    })
    .default({ share: 1, speed: 1 }),
  timing: z.object({
    /** A planned stop ends within this time. */
    stopGrace: SECONDS,
    /** A leaving server gets no new work after this time. */
    drain: SECONDS,
    /** Daemons that have been connected for this long know what the others have seen. */
    contact: SECONDS.default(DEFAULT_CONTACT_MILLISECONDS),
    /** A configuration is in force within this time. */
    configuration: SECONDS,
    /** The longest lease that a server takes. */
    longestLease: SECONDS,
    /** Servers of a zone that operators evacuate get nothing after this time; null: zones are not evacuated. */
    evacuation: SECONDS.nullable().default(null),
    retryWindow: SECONDS,
  }),
  /** What a server may get in a second while it is cold: `factor` times what it bears, and `slack`. Null: as much as a warm one. */
  coldStart: z
    .object({ factor: z.number().min(0).max(100).nullable(), slack: z.number().min(0).nullable() })
    .default({ factor: null, slack: null })
    .transform(({ factor, slack }) => (factor === null || slack === null ? null : { factor, slack })),
  retries: z.object({ ratio: z.number().min(0).max(10), extra: z.number().min(0) }),
});

/** Checked settings; lengths of time in milliseconds. */
export type RouterSettings = z.infer<typeof settingsSchema>;

/** Checks settings that were read. The error lists every fault at once. Unknown fields are ignored. */
export function checkRouterSettings(value: unknown, source: string): Result<RouterSettings, SettingsError> {
  const parsed = settingsSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(new SettingsError('check settings', source, describeFaults(parsed.error, value)));
}

/** Reads and checks a settings file. */
export function readRouterSettings(path: string): Result<RouterSettings, SettingsError> {
  try {
    return checkRouterSettings(parse(readFileSync(path, 'utf8')), path);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err(new SettingsError('read settings', path, [detail]));
  }
}
