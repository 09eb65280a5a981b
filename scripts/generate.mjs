// Regenerates the committed codecs from the files under proto/. Only needed after one of these has changed.
import { execFileSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

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

function generate(name) {
  const output = `src/wire/generated/${name}.js`;
  execFileSync('npx', ['pbjs', ...options, '-r', name, '-o', output, `proto/${name}.proto`], {
    stdio: 'inherit',
  });
  execFileSync('npx', ['pbts', '-o', `src/wire/generated/${name}.d.ts`, output], { stdio: 'inherit' });
  // The protobufjs runtime is a CommonJS module, so an ES module can only use its default export.
  const code = readFileSync(output, 'utf8');
  writeFileSync(
    output,
    code.replace(
      'import * as $protobuf from "protobufjs/minimal"',
      'import $protobuf from "protobufjs/minimal.js"',
    ),
  );
}

for (const name of process.argv.length > 2 ? process.argv.slice(2) : ['messages', 'router']) {
  generate(name);
}
