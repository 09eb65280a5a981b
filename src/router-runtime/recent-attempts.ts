/** The latest attempts that one connection has carried. A late answer to one of them may still arrive. */

/** The oldest attempt is forgotten first. A busy connection carries some fifty requests a second. */
const MAX_ATTEMPTS = 128;

export class RecentAttempts {
  readonly #ids: string[] = [];
  #next = 0;

  add(attemptId: string): void {
    this.#ids[this.#next] = attemptId;
    this.#next = (this.#next + 1) % MAX_ATTEMPTS;
  }

  has(attemptId: string): boolean {
    return attemptId !== '' && this.#ids.includes(attemptId);
  }
}
