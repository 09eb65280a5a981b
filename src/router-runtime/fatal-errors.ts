/** Logs the exception that ends the process: what was thrown, for which input, and where. The process still ends. */
import type { EventLog } from './event-log.js';

const MAX_STACK_LINES = 12;
const MAX_TEXT_CHARACTERS = 1_000;

/** What Node.js and its HTTP client add to errors. */
type AnnotatedError = Error & { readonly code?: unknown; readonly input?: unknown };

/** Returns the fields of the log line for an exception. */
export function describeFatalError(thrown: unknown, origin: string): Record<string, unknown> {
  if (!(thrown instanceof Error)) {
    return { origin, message: String(thrown).slice(0, MAX_TEXT_CHARACTERS) };
  }
  const { name, message, code, input, stack, cause }: AnnotatedError = thrown;
  return {
    origin,
    name,
    message: message.slice(0, MAX_TEXT_CHARACTERS),
    ...(code === undefined ? {} : { code: String(code) }),
    ...(input === undefined ? {} : { input: String(input).slice(0, MAX_TEXT_CHARACTERS) }),
    ...(cause === undefined ? {} : { cause: String(cause).slice(0, MAX_TEXT_CHARACTERS) }),
    stack: (stack ?? '')
      .split('\n')
      .slice(1, MAX_STACK_LINES + 1)
      .map((line) => line.trim()),
  };
}

/** Writes a log line, and all lines before it, when an uncaught exception or an unhandled rejection is about to end the process. */
export function logFatalErrors(log: EventLog): void {
  process.on('uncaughtExceptionMonitor', (thrown, origin) => {
    log.event('error', 'uncaught_exception', describeFatalError(thrown, origin));
    log.flushSync();
  });
}
