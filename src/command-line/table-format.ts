/**
 * Formats rows as an aligned text table.
 */
import type { Row } from '../admin/queries.js';

/** Returns the rows under a header of column names, or the line `none` when there are no rows. */
export function formatRows(rows: readonly Row[]): string {
  const [first] = rows;
  if (first === undefined) {
    return 'none\n';
  }
  const columns = Object.keys(first);
  const lines = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '-')))];
  const widths = columns.map((_, column) => Math.max(...lines.map((line) => line[column]?.length ?? 0)));
  const format = (line: readonly string[]): string =>
    line
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return `${lines.map(format).join('\n')}\n`;
}
