/**
 * Explains one request from the logs of any number of daemons: how each daemon that received the request ended
 * it, and which preceding events concern its key, its servers, its daemon or the leader.
 */
import type { LogLine } from './log-line.js';

/** Events from this long before a request arrived are included, since they may explain its outcome. */
const LOOKBACK_MILLISECONDS = 3_000;
/** Events that set a state (a server's limit, event loop delay) which holds until a later event changes it. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'server_names_limit',
  'server_limit_ended',
  'loop_behind',
  'loop_on_time',
]);
/** Maximum number of preceding events listed for one request at one daemon; the latest are kept. */
const MAX_PRECEDING_EVENTS = 25;

/** The log line that ended a request at one daemon, with the fields that the explanation needs. */
interface RequestLine {
  readonly line: LogLine;
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly service: string;
  readonly key: number | null;
  readonly servers: readonly string[];
}

function timestampOf(line: LogLine): number {
  return Date.parse(line.time);
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value ?? null);
}

function toRequestLine(line: LogLine): RequestLine {
  const attempts = Array.isArray(line['attempts']) ? line['attempts'].map(formatValue) : [];
  const duration = typeof line['milliseconds'] === 'number' ? line['milliseconds'] : 0;
  const serverInReason = /i-[0-9a-z]+(#\d*)?/.exec(formatValue(line['reason']));
  const servers = attempts.map((attempt) => attempt.split(' ')[0] ?? '');
  return {
    line,
    arrivedAt: timestampOf(line) - duration,
    endedAt: timestampOf(line),
    service: formatValue(line['service']),
    key: typeof line['key'] === 'number' ? line['key'] : null,
    servers: serverInReason === null ? servers : [...servers, serverInReason[0]],
  };
}

/** Whether a text names the unit of the service that contains the key, as in `racks/0-511 to i-1`. */
function mentionsUnitOfKey(text: string, service: string, key: number): boolean {
  for (const [, name, from, to] of text.matchAll(/([^\s"/[]+)\/(\d+)-(\d+)/g)) {
    if (name === service && Number(from) <= key && key <= Number(to)) {
      return true;
    }
  }
  return false;
}

const DAEMON_WIDE_EVENTS: ReadonlySet<string> = new Set([
  'loop_behind',
  'loop_on_time',
  'leadership_won',
  'leadership_lost',
  'configuration_applied',
  'feed_lost',
  'feed_regained',
  'started',
  'stopping',
]);

function isRelevantTo(line: LogLine, request: RequestLine): boolean {
  const isOwn = line.daemon === request.line.daemon;
  if (DAEMON_WIDE_EVENTS.has(line.event)) {
    return isOwn || line.event.startsWith('leadership_');
  }
  if (line.event.startsWith('server_')) {
    return request.servers.includes(formatValue(line['server'])) && (isOwn || line.event !== 'server_added');
  }
  const units = formatValue(line['unit'] ?? line['changed'] ?? '');
  return request.key !== null && mentionsUnitOfKey(units, request.service, request.key);
}

function formatPrecedingEvent(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !['time', 'uptime_ms', 'level', 'daemon', 'event'].includes(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `    ${line.time} ${line.daemon} ${line.event} ${fields.join(' ')}`;
}

function describeOutcome({ line, key }: RequestLine): string[] {
  const attempts = Array.isArray(line['attempts']) ? line['attempts'].map(formatValue) : [];
  const reason = formatValue(line['reason'] ?? '');
  const notSent = attempts.length === 0 ? '  the request was sent to no server' : '';
  const readDelay = line['read_delay'];
  return [
    `${line.time} ${line.daemon}: ${line.event} with ${formatValue(line['status'])} after ${formatValue(line['milliseconds'])} ms`,
    `  service ${formatValue(line['service'])}, key ${key ?? 'none'}, route ${formatValue(line['route'])}`,
    ...(reason === '' ? [] : [`  reason: ${reason}`]),
    `  versions in use: configuration ${formatValue(line['configuration'])}, servers ${formatValue(line['servers'])}, ownership ${formatValue(line['ownership'])}`,
    ...(readDelay === undefined
      ? []
      : [
          `  the request may have waited unread for another ${formatValue(readDelay)} ms: the event loop was behind`,
        ]),
    ...(notSent === '' ? [] : [notSent]),
    ...attempts.map((attempt) => `  attempt at ${attempt}`),
  ];
}

/** Returns the latest state event of the event loop and of each server of the request from before the look-back time. */
function latestStateEvents(ordered: readonly LogLine[], request: RequestLine): LogLine[] {
  const latest = new Map<string, LogLine>();
  for (const line of ordered) {
    const isEarlier = timestampOf(line) < request.arrivedAt - LOOKBACK_MILLISECONDS;
    const isOwn = line.daemon === request.line.daemon;
    if (isEarlier && isOwn && STATE_EVENTS.has(line.event) && isRelevantTo(line, request)) {
      latest.set(formatValue(line['server']), line);
    }
  }
  return [...latest.values()];
}

/**
 * Returns the explanation of a request as lines of text; empty when no log contains the attempt id.
 *
 * @example
 * explainRequest('43c307df64f312b7', lines).join('\n');
 */
export function explainRequest(attemptId: string, lines: readonly LogLine[]): string[] {
  const ordered = [...lines].sort((left, right) => timestampOf(left) - timestampOf(right));
  const requests = ordered.filter((line) => line['attempt_id'] === attemptId).map(toRequestLine);
  return requests.flatMap((request) => {
    const preceding = ordered.filter((line) => {
      const at = timestampOf(line);
      const isNear = at >= request.arrivedAt - LOOKBACK_MILLISECONDS && at <= request.endedAt;
      return isNear && line['attempt_id'] === undefined && isRelevantTo(line, request);
    });
    const recent = preceding.slice(-MAX_PRECEDING_EVENTS).map(formatPrecedingEvent);
    const recentHeading = recent.length === 0 ? [] : ['  events from 3 s before its arrival until its end:'];
    const state = latestStateEvents(ordered, request).map(formatPrecedingEvent);
    const stateHeading = state.length === 0 ? [] : ['  state from earlier events, still in force:'];
    return [...describeOutcome(request), ...stateHeading, ...state, ...recentHeading, ...recent];
  });
}
