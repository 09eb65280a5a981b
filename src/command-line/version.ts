/**
 * The version of this program, read from package.json.
 */
import { readFileSync } from 'node:fs';

const PACKAGE_JSON_URL = new URL('../../../package.json', import.meta.url);

/** Returns the version, for example `0.1.0`. */
export function programVersion(): string {
  return (JSON.parse(readFileSync(PACKAGE_JSON_URL, 'utf8')) as { version: string }).version;
}
