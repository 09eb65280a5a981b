/**
 * The error hierarchy. Each error carries the step at which it arose and the peer it arose with.
 */

/** Base of all errors of this project. */
export class FennelferryError extends Error {
  /** What was being done. */
  readonly step: string;
  /** With whom: an address, a server's name, or a file. */
  readonly peer: string;

  constructor(step: string, peer: string, detail: string) {
    super(`${step} (${peer}): ${detail}`);
    this.name = new.target.name;
    this.step = step;
    this.peer = peer;
  }
}

/** Bytes between daemons that cannot be read. */
export class WireError extends FennelferryError {}
/** The platform's store refused, failed or did not answer. */
export class StoreError extends FennelferryError {}
/** A settings file or a routing configuration that does not fit its schema. */
export class SettingsError extends FennelferryError {
  /** One line a fault: path, what was found, what is allowed. */
  readonly faults: readonly string[];

  constructor(step: string, peer: string, faults: readonly string[]) {
    super(step, peer, faults.join('\n'));
    this.faults = faults;
  }
}
/** A statement of the query and command language that cannot be read. */
export class StatementError extends FennelferryError {}
/** The admin API of a daemon refused or did not answer. */
export class AdminError extends FennelferryError {}
