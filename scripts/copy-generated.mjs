// Copies the committed generated codec beside the compiled code: the compiler does not carry plain JavaScript over.
import { cpSync } from 'node:fs';
cpSync('src/wire/generated', 'dist/src/wire/generated', { recursive: true });
