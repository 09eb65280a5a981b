/** Index from each crashed server to the requests that are suspected of the crash. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

interface Blame {
  /** Fingerprint values of the suspected requests. */
  readonly fingerprints: Set<string>;
  /** When this daemon first learned of the crash. */
  readonly heardAt: Milliseconds;
}

export class ServerBlames {
  readonly #crashes = new Map<ServerId, Blame>();

  add(server: ServerId, fingerprint: string, now: Milliseconds): void {
    const crash = this.#crashes.get(server) ?? { fingerprints: new Set(), heardAt: now };
    crash.fingerprints.add(fingerprint);
    this.#crashes.set(server, crash);
  }

  forget(server: ServerId, fingerprint: string): void {
    const crash = this.#crashes.get(server);
    crash?.fingerprints.delete(fingerprint);
    if (crash?.fingerprints.size === 0) {
      this.#crashes.delete(server);
    }
  }

  /** Returns the requests suspected of a server's crash, if this daemon learned of the crash before the given time. */
  heardBefore(server: ServerId, moment: Milliseconds): string[] {
    const crash = this.#crashes.get(server);
    return crash === undefined || moment <= crash.heardAt ? [] : [...crash.fingerprints];
  }
}
