/** Index from each crashed server to the requests that are suspected of the crash. */
import type { Milliseconds, ServerId } from '../model/identifiers.js';

interface ServerCrash {
  /** Fingerprint values of the suspected requests. */
  readonly fingerprints: Set<string>;
  /** When this daemon first learned of the crash. */
  readonly learnedAt: Milliseconds;
}

export class CrashSuspects {
  readonly #crashes = new Map<ServerId, ServerCrash>();

  add(server: ServerId, fingerprint: string, now: Milliseconds): void {
    const crash = this.#crashes.get(server) ?? { fingerprints: new Set(), learnedAt: now };
    crash.fingerprints.add(fingerprint);
    this.#crashes.set(server, crash);
  }

  remove(server: ServerId, fingerprint: string): void {
    const crash = this.#crashes.get(server);
    crash?.fingerprints.delete(fingerprint);
    if (crash?.fingerprints.size === 0) {
      this.#crashes.delete(server);
    }
  }

  /** Returns the requests suspected of a server's crash, if this daemon learned of the crash before the given time. */
  suspectsLearnedBefore(server: ServerId, moment: Milliseconds): string[] {
    const crash = this.#crashes.get(server);
    return crash === undefined || moment <= crash.learnedAt ? [] : [...crash.fingerprints];
  }
}
