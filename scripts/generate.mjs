// Makes the committed codec anew from proto/messages.proto. Only needed after a change of that file.
import { execFileSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

const output = 'src/wire/generated/messages.js';
const options = [
  '-t',
  'static-module',
  '-w',
  'es6',
  '--force-number',
  '--no-service',
  '--no-delimited',
  '--no-verify',
];
execFileSync('npx', ['pbjs', ...options, '-o', output, 'proto/messages.proto'], { stdio: 'inherit' });
execFileSync('npx', ['pbts', '-o', 'src/wire/generated/messages.d.ts', output], { stdio: 'inherit' });
// The runtime library is CommonJS: as an ES module it has a default export only.
const code = readFileSync(output, 'utf8');
writeFileSync(
  output,
  code.replace(
    'import * as $protobuf from "protobufjs/minimal"',
    'import $protobuf from "protobufjs/minimal.js"',
  ),
);
