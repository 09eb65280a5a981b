/** Lines of daemons' logs, read back. */
import * as z from 'zod';
import { LOG_EVENTS, type LogEventName } from '../router/log-events.js';

const lineSchema = z.looseObject({
  time: z.string(),
  uptime_ms: z.number(),
  daemon: z.string(),
  event: z.string().refine((event): event is LogEventName => event in LOG_EVENTS),
});

/** One line: who wrote it when, the event, and its fields. */
export type LogLine = z.infer<typeof lineSchema>;

/** Reads one line; null when it is not a line of a daemon's log. What stands before the JSON is passed over. */
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
