/**
 * Logs by the `consola` library: for people by default, one JSON object a line for machines.
 */
import { createConsola, type ConsolaInstance } from 'consola';

/** A logger that stamps each line with who speaks. */
export function createLog(tag: string, json: boolean): ConsolaInstance {
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
