/** Counters by name. The metrics endpoint exposes each as `fennelferry_router_<name>_total`. */

/** Every counter of a router daemon. */
export const ROUTER_COUNTER_NAMES = [
  'suspensions',
  'requests',
  'answered',
  'refused',
  'failed',
  'callers_left',
  'callers_left_unread',
  'attempts',
  'attempts_rejected',
  'attempts_lost',
  'attempts_not_sent',
  'retries',
  'retries_over_budget',
  'server_ends',
  'leaving_answers',
  'rest_requests',
  'malformed_rest_requests',
  'limits_read',
  'refused_at_limits',
  'refused_read_late',
  'held_displaced',
  'refused_behind_more_urgent',
  'permits_asked',
  'permits_denied',
  'malformed_limits',
  'quarantines',
  'requests_quarantined',
  'requests_held_back',
  'grants',
  'releases',
  'probes',
  'control_unanswered',
  'control_rejected',
  'units_moved',
  'ownership_writes',
  'ownership_write_failures',
  'leaderships_won',
  'leaderships_lost',
  'configurations_applied',
  'server_changes',
  'feed_failures',
  'confirmations_asked',
  'requests_unconfirmed',
  'writes_withheld',
  'requests_to_proxies',
  'requests_for_others',
  'path_check_rounds',
  'path_checks',
  'path_checks_inconclusive',
  'paths_lost',
  'malformed_answers',
  'malformed_load_reports',
  'malformed_load_views',
  'malformed_peer_messages',
  'malformed_store_objects',
  'log_lines_dropped',
] as const;

export type RouterCounterName = (typeof ROUTER_COUNTER_NAMES)[number];
export type RouterCounters = Record<RouterCounterName, number>;

/** Creates all counters with value zero. */
export function createRouterCounters(): RouterCounters {
  return Object.fromEntries(ROUTER_COUNTER_NAMES.map((name) => [name, 0])) as RouterCounters;
}
