/** Counts the characters that code reads through regular expressions and searches in strings. */

/**
 * Returns how many characters an action reads, without those that it reads one by one. Restores the counted methods when it ends.
 *
 * @example
 * countReadCharacters(() => 'abc'.indexOf('c')); // 3
 */
export function countReadCharacters(action: () => void): number {
  const { test, exec } = RegExp.prototype;
  const { indexOf } = String.prototype;
  let characters = 0;
  const count = (from: number, to: number): void => {
    characters += Math.max(1, to - from + 1);
  };
  RegExp.prototype.test = function (this: RegExp, text: string): boolean {
    return this.exec(text) !== null;
  };
  RegExp.prototype.exec = function (this: RegExp, text: string): RegExpExecArray | null {
    const from = this.lastIndex;
    const match = exec.call(this, text);
    const end = match === null ? (this.sticky ? from : text.length) : match.index + match[0].length;
    count(from, end);
    return match;
  };
  String.prototype.indexOf = function (this: string, part: string, from = 0): number {
    const index = indexOf.call(this, part, from);
    count(from, index < 0 ? this.length : index);
    return index;
  };
  try {
    action();
  } finally {
    Object.assign(RegExp.prototype, { test, exec });
    Object.assign(String.prototype, { indexOf });
  }
  return characters;
}
