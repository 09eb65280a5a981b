/** Parses lines of daemon logs. */
import * as z from 'zod';
import { LOG_EVENTS, type LogEventName } from '../router/log-events.js';

const lineSchema = z.looseObject({
  time: z.string(),
  uptime_ms: z.number(),
  daemon: z.string(),
  event: z.string().refine((event): event is LogEventName => event in LOG_EVENTS),
});

/** One log line: time, daemon, event, and the fields of the event. */
export type LogLine = z.infer<typeof lineSchema>;

/** Parses one line; returns null when it is not a daemon log line. A prefix before the JSON, such as a time and a host name, is ignored. */
export function parseLogLine(text: string): LogLine | null {
  const start = text.indexOf('{"time"');
  if (start < 0) {
    return null;
  }
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
