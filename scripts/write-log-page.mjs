// Generates docs/operators/logs.md from the catalogue of log events. `npm run docs:logs` builds the project and runs this script.
import { writeFileSync } from 'node:fs';
import { logPage } from '../dist/src/explain/log-page.js';

writeFileSync('docs/operators/logs.md', logPage());
