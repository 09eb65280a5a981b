/** Which requests are blamed for the end of each server. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

interface Blame {
  /** Values of fingerprints. */
  readonly fingerprints: Set<string>;
  /** When this daemon first heard of the end. */
  readonly heardAt: Milliseconds;
}

export class ServerBlames {
  readonly #blames = new Map<ServerId, Blame>();

  add(server: ServerId, fingerprint: string, now: Milliseconds): void {
    const blame = this.#blames.get(server) ?? { fingerprints: new Set(), heardAt: now };
    blame.fingerprints.add(fingerprint);
    this.#blames.set(server, blame);
  }

  forget(server: ServerId, fingerprint: string): void {
    const blame = this.#blames.get(server);
    blame?.fingerprints.delete(fingerprint);
    if (blame?.fingerprints.size === 0) {
      this.#blames.delete(server);
    }
  }

  /** Requests that are blamed for an end that was heard of before a moment. */
  heardBefore(server: ServerId, moment: Milliseconds): string[] {
    const blame = this.#blames.get(server);
    return blame === undefined || moment <= blame.heardAt ? [] : [...blame.fingerprints];
  }
}
