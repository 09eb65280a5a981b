// Writes docs/operators/logs.md from the catalogue of events. Run by `npm run docs:logs` after a build.
import { writeFileSync } from 'node:fs';
import { logPage } from '../dist/src/explain/log-page.js';

writeFileSync('docs/operators/logs.md', logPage());
