/** The page docs/operators/logs.md, made from the catalogue of events. */
import { LOG_EVENTS } from '../router/log-events.js';

const INTRODUCTION = `# Events of a router daemon's log

Made by \`npm run docs:logs\` from \`src/router/log-events.ts\`; a test compares the two.

One JSON object a line on standard output: \`time\` (time of day, may jump), \`uptime_ms\` (steady), \`level\`, \`daemon\`,
\`event\`, fields. At most 400 routine lines a second and 512 KiB waiting; what is dropped is counted
(\`log_lines_dropped\`, also in the metrics). Writing never waits for the reader.
\`fennelferry explain ATTEMPT-ID FILES...\` tells the story of one request from the logs of any number of daemons.
`;

/** The whole page. */
export function logPage(): string {
  const rows = Object.entries(LOG_EVENTS).map(
    ([name, { when, fields }]) => `- \`${name}\`: ${when}. Fields: ${fields}.`,
  );
  return `${INTRODUCTION}\n${rows.join('\n')}\n`;
}
