/** The catalogue of a router daemon's log events: when each is written, and its fields. */

/** The description of an event in docs/operators/logs.md. */
export interface LogEventDescription {
  readonly when: string;
  readonly fields: string;
}

const REQUEST_FIELDS =
  'attempt_id, status, reason, route, service, key, versions (configuration, ownership, servers), attempts (server, outcome, ms), milliseconds; execution (what is known of each attempt: not written, rejected by id, rejected on a new connection, refused by a proxy, unknown) if one has ended and the request was not answered; data_age (ms, of the data of the store by which the last server was chosen) if one was chosen; read_delay (ms that the request may have waited unread because the event loop was behind); fingerprint (the same for each attempt of one request, at any daemon) if the connection of an attempt closed before its response';

/** All events, in the order of the page. */
export const LOG_EVENTS = {
  started: { when: 'the process starts', fields: 'life (incarnation number of the process), addresses' },
  stopping: {
    when: 'SIGTERM was received',
    fields: 'requests (in progress), leader (whether this daemon is the leader)',
  },
  stopped: {
    when: 'a planned stop ends',
    fields: 'milliseconds (duration of the stop), unfinished (requests still in progress)',
  },
  uncaught_exception: {
    when: 'an exception that nothing handled ends the process; the last line of its log',
    fields:
      'origin (uncaughtException or unhandledRejection), name, message, code, input (the value that could not be parsed), cause, stack (up to 12 lines)',
  },
  settings_reloaded: {
    when: 'the settings were read again after SIGHUP or a change of the file',
    fields: 'the limits and durations now in force',
  },
  settings_rejected: {
    when: 'the settings file is invalid: the old settings stay in force',
    fields: 'faults (all errors found)',
  },
  machine_resumed: {
    when: 'the machine was suspended, or the time of day was set ahead where no other clock is reliable',
    fields: "length (ms), counted (whether the daemon's clock advanced during the suspension)",
  },
  loop_behind: {
    when: 'the event loop is at least 100 ms late: requests and closed connections are not handled meanwhile',
    fields: 'delay (ms)',
  },
  loop_on_time: {
    when: 'the event loop has not been 50 ms late for 1 s',
    fields:
      'longest (ms, the greatest delay), lasted (ms), busiest (the kinds of events that took the most time meanwhile, ms)',
  },
  memory_high: {
    when: 'the heap or the resident memory is above three quarters of its limit, each second until it is below 0.65 of it',
    fields:
      'heap, heap_limit, external (buffers outside the heap), resident, held_for_callers, held_for_servers (all in MB; the last two as accounted for), requests (in flight)',
  },
  memory_normal: { when: 'memory is below 0.65 of its limits again', fields: 'as of memory_high' },
  feed_lost: {
    when: 'a list or watch call to the store ends without a response, or the response is overdue',
    fields: 'feed, call (list or watch), waited (ms since the call was sent), reason',
  },
  feed_regained: {
    when: 'the store answers list or watch calls of the feed again',
    fields: 'feed, response_time (ms, without the wait for changes)',
  },
  feed_behind: {
    when: 'other daemons have known a newer version of a feed for 0.6 s: the feed is listed again',
    fields: 'feed, own (version), newest (version at other daemons)',
  },
  news_old: {
    when: 'neither this daemon nor any that it receives updates from has had a response of the store for longer than a change may take',
    fields: 'age (ms), follows (whether this daemon watches the store itself)',
  },
  news_fresh: {
    when: 'this daemon, or one that it receives updates from, has had a response of the store again',
    fields: 'as of news_old',
  },
  configuration_applied: {
    when: 'a newer configuration takes effect',
    fields: 'version, former (version), routes (how many), source (store, parent, child), revision',
  },
  servers_listed: { when: 'the first list of servers was received', fields: 'servers (how many), revision' },
  server_added: {
    when: 'a server is added to the list',
    fields:
      'server, service, address, zone, slots, revision, unconfirmed (ms since the data before this change was confirmed)',
  },
  server_draining: { when: 'a server is draining: it gets no new work', fields: 'as of server_added' },
  server_ready: { when: 'a draining server accepts work again', fields: 'as of server_added' },
  server_says_leaving: {
    when: 'a response of a server states for the first time that it is draining: it gets new work for a short time only',
    fields:
      'server, service, address, source (answer: a response to this daemon; parent, child: an update of that daemon), age (ms)',
  },
  server_asks_rest: {
    when: 'a server rejects a request and asks this daemon for a back-off',
    fields: 'server, service, milliseconds (of the back-off)',
  },
  malformed_rest_request: {
    when: 'a server of a service asks for a back-off that cannot be parsed, logged once for each service',
    fields: 'server, service, found',
  },
  server_names_limit: {
    when: 'responses of a server state a new or changed rate limit for the requests of all daemons together',
    fields:
      'server, service, limit (requests a second), former (limit), source (as of server_says_leaving), age (ms)',
  },
  server_limit_ended: {
    when: 'responses of a server no longer state a rate limit, or none has confirmed the limit for a long time',
    fields:
      'server, service, former (limit), source (as of server_says_leaving; unconfirmed: no response has stated the limit for a long time), age (ms)',
  },
  malformed_limit: {
    when: 'a server of a service states a rate limit that cannot be parsed, logged once for each service: the current limit stays',
    fields: 'server, service, found',
  },
  server_gone: {
    when: 'a server is removed from the list',
    fields: 'server, service, revision, unconfirmed',
  },
  zone_evacuated: {
    when: 'operators evacuate a zone: its servers get no more requests',
    fields: 'zone, revision',
  },
  zone_restored: { when: 'operators end the evacuation of a zone', fields: 'zone, revision' },
  server_silent: {
    when: 'a server does not respond to control calls of the leader, and the path to it is not at fault',
    fields: 'server, unanswered (calls), check (whether the server accepts connections)',
  },
  server_answers: {
    when: 'a server responds to control calls of the leader again',
    fields: 'server, outcome',
  },
  path_lost: {
    when: 'this daemon can open connections to none of the servers of a service that it has tried: the servers themselves may be well',
    fields:
      'service, checks (servers with the outcome of the check), since (ms since the last response of any of its servers, at most 2000), doubtful (ms for which checks were inconclusive because this daemon was busy)',
  },
  path_restored: {
    when: 'this daemon can open connections to servers of the service again',
    fields: 'service, lasted (ms)',
  },
  server_crashed: {
    when: 'a server closed a connection during requests of this daemon, and its process has ended',
    fields: 'server, service, address, evidence, requests (how many), fingerprints (up to 8)',
  },
  quarantine_begun: {
    when: 'enough servers have crashed during a request: the request is no longer sent to servers',
    fields: 'fingerprint, servers',
  },
  quarantine_retested: {
    when: 'the leader lets a quarantined request through, since it arrives very often and no such retest has failed',
    fields: 'fingerprint',
  },
  quarantine_ended: {
    when: 'a quarantined request may be sent to servers again',
    fields: 'fingerprint, reason (a server answered it, an operator lifted it)',
  },
  server_ended: {
    when: 'another server has taken over the address or the name of a server that owned units',
    fields: 'server, address, successor',
  },
  leader_seen: {
    when: "the leader's object in the store, or a daemon, names another leader",
    fields: 'term, leader, address, revision',
  },
  leadership_claimed: {
    when: 'this daemon becomes a candidate for the leadership',
    fields: 'term, former (leader), revision',
  },
  candidacy_dropped: { when: 'this daemon gives up its candidacy', fields: 'term, reason' },
  leadership_won: {
    when: 'this daemon becomes the leader',
    fields:
      'term, units (how many), revision, waits_for (ms until the leases of earlier leaders have expired), unconfirmed_releases (how many former owners have to confirm)',
  },
  leases_resumed: {
    when: 'every owner has accepted a grant of a new leader for the units that it held before',
    fields:
      'term, units (how many), took (ms from the start of the leadership until the last of these grants)',
  },
  renewals_late: {
    when: 'owners have accepted no grant of the leader for longer than a lease: their keys have no owner; at most once a second',
    fields:
      'term, units (whose renewal is late), of (units), oldest (ms since the last accepted grant, or the start of the leadership), calls (in progress)',
  },
  leadership_lost: {
    when: 'this daemon is no longer the leader',
    fields: 'term, reason, found (the leader according to the store)',
  },
  relay_followed: { when: 'the leader redirected this daemon to a relay', fields: 'relay' },
  relay_left: {
    when: 'the connection to the relay was lost: this daemon reconnects to the leader',
    fields: 'relay, reason',
  },
  child_joined: {
    when: 'a daemon joins as a child and sends its first report',
    fields: 'child, leads (whether this daemon is the leader)',
  },
  child_left: {
    when: 'the connection of a child closed',
    fields: 'child, daemons (in its subtree, including itself)',
  },
  store_following: {
    when: 'this daemon starts or stops listing and watching the store itself',
    fields: 'follows, servers (revision up to which the list is known)',
  },
  assignment_written: {
    when: 'the store has accepted a new ownership table',
    fields: 'term, revision, changed (units, up to 20)',
  },
  unit_released: { when: 'the former owner released a unit', fields: 'unit, fence, former (owner)' },
  release_waited_out: {
    when: 'the leases of the former owner of a unit have expired without a release',
    fields: 'unit, fence, former (owner)',
  },
  release_confirmed: {
    when: 'a former owner, or the server that listens at its address, confirmed a release after it had been out of reach: from now on it rejects older grants',
    fields: 'server, former (owner), address, fence, keys (service and range)',
  },
  unconfirmed_releases_dropped: {
    when: 'more former owners have not confirmed a release than can be stored: the oldest releases are not repeated any more',
    fields: 'releases (how many)',
  },
  unit_granted: { when: 'the owner accepted the grant of a unit', fields: 'unit, owner, fence' },
  grant_rejected: { when: 'the owner rejected the grant of a unit', fields: 'unit, owner, status' },
  fence_raised: {
    when: 'the owner has seen a higher fence: the leader raises the fence of the unit',
    fields: 'unit, owner, from, to',
  },
  ownership_heard: {
    when: 'a newer ownership view was received from the leader',
    fields: 'term, sequence, units, granted',
  },
  ownership_read: { when: 'a newer ownership view was read from the store', fields: 'term, revision, units' },
  view_is_old: {
    when: 'this daemon is cut off from the leader and the store, and owners rejected its requests: it is not ready',
    fields: 'term, sequence',
  },
  view_is_fresh: {
    when: 'this daemon hears the leader or the store again, so that its ownership view no longer counts as stale',
    fields: 'term, sequence',
  },
  request_answered: { when: "a server's response was sent to the caller", fields: REQUEST_FIELDS },
  request_refused: {
    when: 'a request is refused: it was not executed and never will be',
    fields: `${REQUEST_FIELDS}; priority of its route; of a balanced service also reserved_mean_load and shared_mean_load (estimated mean number of other daemons' requests at a reserved and at a shared server)`,
  },
  refused_request_answered: {
    when: 'an answer of a server names a request that this daemon has refused after an attempt: the refusal may have been wrong',
    fields: 'attempt_id (of the refused request), server, age (ms since the refusal)',
  },
  unmarked_answer: {
    when: 'a success was passed on whose end only the end of its connection to the server marked',
    fields:
      'attempt_id, server, bytes (of the body), pieces (in which it arrived), earlier_requests (that the connection had carried)',
  },
  load_shed: {
    when: 'a request is refused for want of room while more urgent ones wait for or demand the capacity, at most once a second for each service',
    fields:
      'service, refused (number of such requests since the last line, by priority), for_priority (the most urgent priority that waits or has demand), reserved_mean_load, shared_mean_load (requests at a server of each group; null: unknown)',
  },
  request_failed: { when: 'a request is given up: it may have been executed', fields: REQUEST_FIELDS },
  request_broken_off: { when: 'a streamed response broke off', fields: REQUEST_FIELDS },
  caller_left: {
    when: 'the caller closed its connection, or its answer can no longer be delivered there',
    fields: REQUEST_FIELDS,
  },
  malformed_load_report: {
    when: 'a server of a service sends a load report that cannot be parsed, logged once for each service',
    fields: 'server, service, found',
  },
  malformed_load_view: {
    when: 'the load of a service in a message of another daemon has numbers that are unreadable, logged once for each service: it is ignored',
    fields: 'service, peer (the daemon that reported, or the leader that announced the load), found',
  },
  malformed_store_object: {
    when: 'an object of the store cannot be parsed, logged once for each object (once for each problem if it has no readable name): it is skipped, and no server is taken from it',
    fields: 'kind, name, problem (the first violation: path and what is wrong)',
  },
  effect_failed: {
    when: 'an exception has stopped a call, an attempt, a check or a connection, which counts as not sent; at most one line a second',
    fields: 'effect, reason, unlogged',
  },
  malformed_leader_record: {
    when: 'the leader record in the store cannot be read, since another one than a daemon has written it',
    fields: 'revision',
  },
  malformed_ownership_table: {
    when: 'parts of the ownership table in the store cannot be read: keys without a readable owner are granted once all earlier leases have ended',
    fields: 'term, parts, units, incomplete',
  },
  malformed_peer_message: {
    when: 'bytes received from a peer cannot be parsed; at most one line a second',
    fields: 'peer, detail, unlogged',
  },
  malformed_peer_item: {
    when: 'an item of a message from a peer has an address that is none, and is left out; at most one line a second',
    fields: 'peer, detail, unlogged',
  },
  log_lines_dropped: {
    when: 'log lines of the previous second were dropped: they exceeded the limits of the log',
    fields: 'lines',
  },
} as const satisfies Record<string, LogEventDescription>;

export type LogEventName = keyof typeof LOG_EVENTS;
