import { expect } from 'earl';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';

/** Headers and paths of the platform, in any letter case. */
const HEADERS_AND_PATHS =
  /fennelferry-(attempt|deadline-ms|expect|not-executed|server-seal|server-load|shard|handover|instance)|\/api\/(grant|release|objects|ready)/i;
/** Field names and environment variables of the platform. */
const FIELDS = /\bholdS\b|\btargetVersion\b|FENNELFERRY_NODE_FILE|\bretryRatio\b|\bgraceS\b|\bdrainS\b/;

function namesPlatform(file: string): boolean {
  const text = readFileSync(file, 'utf8');
  return HEADERS_AND_PATHS.test(text) || FIELDS.test(text);
}

function sourcesBelow(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(folder, name));
}

describe('names of the platform', () => {
  // A lint rule on imports would not detect names in strings.
  it('do not occur in the sources outside of the platform folder', () => {
    const sources = sourcesBelow('src');
    expect(sources.length > 100).toEqual(true);
    const found = sources.filter(namesPlatform);
    expect(found).toEqual([]);
  });

  it('are found in the platform folder by the same search', () => {
    const named = sourcesBelow('platform').filter(namesPlatform);
    expect(named.length > 0).toEqual(true);
  });
});
