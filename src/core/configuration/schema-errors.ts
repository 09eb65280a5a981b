/**
 * Formats the validation errors of a value that does not match a schema: one line per error, with the path,
 * the value found and what is allowed.
 */
import type { z } from 'zod';

const MAXIMUM_VALUE_LENGTH = 60;

function formatValue(value: unknown): string {
  if (value === undefined) {
    return 'nothing';
  }
  const text = JSON.stringify(value);
  return text.length > MAXIMUM_VALUE_LENGTH ? `${text.slice(0, MAXIMUM_VALUE_LENGTH)}…` : text;
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const step of path) {
    if (typeof value !== 'object' || value === null) {
      return undefined;
    }
    value = (value as Record<PropertyKey, unknown>)[step];
  }
  return value;
}

/** Returns one line for each validation error. */
export function describeSchemaErrors(error: z.ZodError, root: unknown): string[] {
  return error.issues.map((issue) => {
    const path = issue.path.length === 0 ? '(top)' : issue.path.map(String).join('.');
    const text = issue.message.startsWith('allowed:') ? issue.message : `allowed: ${issue.message}`;
    return `${path}: found ${formatValue(valueAt(root, issue.path))}; ${text}`;
  });
}
