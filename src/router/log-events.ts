/** The catalogue of a router daemon's log: every event with when it is written and the fields that decide. */

/** What is said of an event in docs/operators/logs.md. */
export interface LogEventDescription {
  readonly when: string;
  readonly fields: string;
}

const REQUEST_FIELDS =
  'attempt_id, status, reason, route, service, key, versions (configuration, ownership, servers), attempts (server, outcome, ms), milliseconds; read_delay (ms that it may have waited unread before, if the loop was behind); fingerprint (the same for each try of one request, at any daemon) when the connection of an attempt ended before its answer';

/** Every event, in the order of the page. */
export const LOG_EVENTS = {
  started: { when: 'a process begins', fields: 'life, addresses' },
  stopping: { when: 'SIGTERM came', fields: 'requests under way, whether it led' },
  stopped: { when: 'a planned stop ends', fields: 'milliseconds, unfinished requests' },
  settings_reloaded: { when: 'SIGHUP, or the file changed', fields: 'bounds in force' },
  settings_rejected: { when: 'the file is bad; the old settings stay', fields: 'faults, all of them' },
  machine_resumed: {
    when: 'the machine was suspended, or the time of day was set ahead where no other clock can be believed',
    fields: "length (ms), counted (whether the daemon's clock has that time in it)",
  },
  loop_behind: {
    when: 'the event loop is 100 ms late or more: requests and ends of connections wait unread',
    fields: 'delay (ms)',
  },
  loop_on_time: {
    when: 'it has not been 50 ms late for 1 s',
    fields:
      'longest (ms, the greatest delay), lasted (ms), busiest (the kinds of events that took most time meanwhile, ms)',
  },
  feed_lost: {
    when: 'a list or watch of the store ends without an answer',
    fields: 'feed, call (list or watch), waited (ms until it was given up), reason',
  },
  feed_regained: { when: 'the store answers the feed again', fields: 'feed' },
  feed_behind: { when: 'other daemons know more for 0.6 s: read anew', fields: 'feed, own, newest' },
  news_old: {
    when: 'nobody that this daemon hears has had an answer of the store for longer than changes may take',
    fields: 'age (ms), follows (whether it asks the store itself)',
  },
  news_fresh: { when: 'somebody has again', fields: 'the same' },
  configuration_applied: {
    when: 'a newer configuration is in force',
    fields: 'version, former, routes, source (store, parent, child), revision',
  },
  servers_listed: { when: 'the first list of servers is known', fields: 'servers (how many), revision' },
  server_added: { when: 'a server is listed', fields: 'server, service, address, zone, slots, revision' },
  server_draining: { when: 'a server leaves: it gets no new work', fields: 'the same' },
  server_ready: { when: 'a draining server takes work again', fields: 'the same' },
  server_says_leaving: {
    when: 'the first answer of a server, to whatever, that says that it leaves: it gets new work for a short time only',
    fields:
      'server, service, address, source (answer: to this daemon; or the daemon above or below that told), age (ms)',
  },
  server_asks_rest: {
    when: 'a server rejects with a time for which it wants nothing from this daemon',
    fields: 'server, service, milliseconds',
  },
  malformed_rest_request: {
    when: 'the first time that a server of a service asks for a rest that cannot be read',
    fields: 'server, service, found',
  },
  server_names_limit: {
    when: 'the answers of a server begin to name a limit for what all daemons together may send it, or name another one',
    fields:
      'server, service, limit (requests a second), former, source (as of server_says_leaving), age (ms)',
  },
  server_limit_ended: {
    when: 'they cease to, or no answer has confirmed the limit for long',
    fields: 'server, service, former, source (or unconfirmed: no answer has named it for long), age (ms)',
  },
  malformed_limit: {
    when: 'the first time that a server of a service names a limit that cannot be read: the one in force stays',
    fields: 'server, service, found',
  },
  server_gone: { when: 'a server is no longer listed', fields: 'server, service, revision' },
  zone_evacuated: {
    when: 'operators evacuate a zone: its servers get nothing more',
    fields: 'zone, revision',
  },
  zone_restored: { when: 'an evacuation is taken back', fields: 'zone, revision' },
  server_silent: { when: 'a server leaves calls of the leader unanswered', fields: 'server, outcome' },
  server_answers: { when: 'it answers again', fields: 'server, outcome' },
  server_crashed: {
    when: 'a server ended a connection under requests of this daemon, and its process is gone',
    fields: 'server, service, address, evidence, requests (how many), fingerprints (up to 8)',
  },
  quarantine_begun: {
    when: 'enough servers have ended under a request: it is kept from servers',
    fields: 'fingerprint, servers',
  },
  quarantine_retested: {
    when: 'the leader lets a request in quarantine through, since it comes very often and no such try has failed',
    fields: 'fingerprint',
  },
  quarantine_ended: {
    when: 'it may be sent to servers again',
    fields: 'fingerprint, reason (a server answered it, an operator lifted it)',
  },
  server_ended: { when: 'its address is in other hands', fields: 'server, address, successor' },
  leader_seen: {
    when: "the leader's object names another leader",
    fields: 'term, leader, address, revision',
  },
  leadership_claimed: { when: 'this daemon wants to lead', fields: 'term, former, revision' },
  candidacy_dropped: { when: 'it does not', fields: 'term, reason' },
  leadership_won: {
    when: 'it leads',
    fields: 'term, units, revision, waits_for (ms for leases of earlier leaders)',
  },
  leadership_lost: { when: 'it leads no more', fields: 'term, reason, found' },
  relay_followed: { when: 'the leader named a relay to this daemon', fields: 'relay' },
  relay_left: { when: 'the relay was lost: back to the leader', fields: 'relay, reason' },
  child_joined: { when: 'a daemon reports to this one', fields: 'child, leads' },
  child_left: { when: 'its connection ended', fields: 'child, daemons (at and below it)' },
  store_following: {
    when: 'this daemon begins or ceases to list and watch the store itself',
    fields: 'follows, servers (revision known so far)',
  },
  assignment_written: {
    when: 'the store has taken a new table',
    fields: 'term, revision, changed (up to 20)',
  },
  unit_released: { when: 'the former owner gave a unit up', fields: 'unit, fence, former' },
  release_waited_out: { when: 'its leases have run out', fields: 'unit, fence, former' },
  unit_granted: { when: 'the owner took a unit', fields: 'unit, owner, fence' },
  grant_rejected: { when: 'the owner refused a unit', fields: 'unit, owner, status' },
  fence_raised: { when: 'the owner had seen a higher fence', fields: 'unit, owner, from, to' },
  ownership_heard: { when: 'a newer view came from the leader', fields: 'term, sequence, units, granted' },
  ownership_read: { when: 'a newer view came from the store', fields: 'term, revision, units' },
  view_is_old: {
    when: 'cut off from the leader and the store, and owners turned requests away: not ready',
    fields: 'term, sequence',
  },
  view_is_fresh: { when: 'news of ownership came again', fields: 'term, sequence' },
  request_answered: { when: "a server's answer went to the caller", fields: REQUEST_FIELDS },
  request_refused: { when: 'refused: it has not run and never will', fields: REQUEST_FIELDS },
  request_failed: { when: 'given up: it may have run', fields: REQUEST_FIELDS },
  request_broken_off: { when: 'a long answer broke off', fields: REQUEST_FIELDS },
  caller_left: { when: 'the caller closed its connection', fields: REQUEST_FIELDS },
  malformed_load_report: {
    when: 'the first time that a server of a service says of its load what cannot be read',
    fields: 'server, service, found',
  },
  malformed_store_object: {
    when: 'the first time that an object of the store cannot be read: it is passed over, and names no server',
    fields: 'kind, name',
  },
  malformed_peer_message: { when: 'bytes of a peer cannot be read', fields: 'peer, detail' },
  log_lines_dropped: { when: 'lines of the second before did not fit', fields: 'lines' },
} as const satisfies Record<string, LogEventDescription>;

/** The name of an event. */
export type LogEventName = keyof typeof LOG_EVENTS;
