/**
 * Log output through the `consola` library: readable text by default, or one JSON object per line.
 */
import { createConsola, type ConsolaInstance } from 'consola';

/** Returns a logger that marks each line with the tag, the daemon's id. */
export function createLogger(tag: string, json: boolean): ConsolaInstance {
  if (!json) {
    return createConsola({ fancy: false, formatOptions: { date: true, colors: false } }).withTag(tag);
  }
  const reporter = {
    log(entry: { date: Date; type: string; args: unknown[] }): void {
      const line = {
        time: entry.date.toISOString(),
        level: entry.type,
        daemon: tag,
        text: entry.args.join(' '),
      };
      process.stdout.write(`${JSON.stringify(line)}\n`);
    },
  };
  return createConsola({ reporters: [reporter] });
}
