// Copies the generated codecs, which are committed, into the build output: the compiler does not copy plain JavaScript files.
import { cpSync } from 'node:fs';
cpSync('src/wire/generated', 'dist/src/wire/generated', { recursive: true });
