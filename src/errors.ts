/**
 * The error hierarchy. Each error names the operation that failed and the peer involved.
 */

/** Base class of all errors of this project. */
export class FennelferryError extends Error {
  /** The operation that failed. */
  readonly operation: string;
  /** The other party or the source: an address, a server's name or a file. */
  readonly peer: string;

  constructor(operation: string, peer: string, detail: string) {
    super(`${operation} (${peer}): ${detail}`);
    this.name = new.target.name;
    this.operation = operation;
    this.peer = peer;
  }
}

/** A malformed message between daemons. */
export class WireError extends FennelferryError {}
/** The platform's store rejected a call, failed or did not respond. */
export class StoreError extends FennelferryError {}
/** A call that the HTTP client can't send, whatever the other party does. */
export class NotSentError extends FennelferryError {}
/** A settings file or a routing configuration that violates its schema. */
export class SettingsError extends FennelferryError {
  /** One line for each violation: path, value found, allowed values. */
  readonly faults: readonly string[];

  constructor(operation: string, peer: string, faults: readonly string[]) {
    super(operation, peer, faults.join('\n'));
    this.faults = faults;
  }
}
/** A statement of the query and command language that cannot be parsed. */
export class StatementError extends FennelferryError {}
/** The admin API of a daemon rejected a call or did not respond. */
export class AdminError extends FennelferryError {}
