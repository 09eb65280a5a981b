/**
 * The daemon's counters, by name. Repeated events are counted here; only changes of state are logged.
 */

/** Every counter of the reducer; `/metrics` exports each one as `fennelferry_<name>_total`. */
export const COUNTER_NAMES = [
  'requests',
  'requests_answered',
  'requests_not_run',
  'requests_unknown',
  'attempts',
  'attempts_refused',
  'retries',
  'requests_queued',
  'requests_shed',
  'elections_won',
  'leadership_lost',
  'entries_committed',
  'snapshots_sent',
  'units_assigned',
  'units_moved',
  'lease_lapses',
  'control_calls',
  'control_timeouts',
  'configurations_applied',
  'configurations_refused',
  'table_deltas_applied',
  'table_pulls',
  'members_suspected',
  'members_declared_dead',
  'store_failures',
  'malformed_frames',
  'peer_messages_sent',
  'peer_bytes_sent',
  'peer_messages_received',
  'peer_bytes_received',
  'peer_messages_dropped',
] as const;

export type CounterName = (typeof COUNTER_NAMES)[number];
export type Counters = Record<CounterName, number>;

/** Creates all counters with the value 0. */
export function createCounters(): Counters {
  return Object.fromEntries(COUNTER_NAMES.map((name) => [name, 0])) as Counters;
}
