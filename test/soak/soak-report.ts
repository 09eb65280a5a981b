/** What a run of the soak is asked for, and what it comes to. */

/** What a run is asked for. */
export interface SoakOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly servers: number;
  /** The daemons' program: another build shows what a soak would have found there. */
  readonly program: string;
  /** The program of every second daemon, so that two builds run beside each other; undefined: all daemons run `program`. */
  readonly programOfHalf?: string | undefined;
  /** Milliseconds of troubles. */
  readonly length: number;
  /** Callers send requests under which servers end, and pauses of daemons are suspensions of their machines. */
  readonly isHarsh: boolean;
  /** Servers say in answers that they leave or want rest and come back under their id, and other writers spoil entries. */
  readonly hasNotices: boolean;
  /** Servers name limits for what all daemons together send them. */
  readonly hasLimits: boolean;
  /** Callers leave while daemons stand still for short times. */
  readonly hasLeaving: boolean;
}

/** The program that a daemon runs, by its number, in all its processes. */
export function programOf({ program, programOfHalf }: SoakOptions, index: number): string {
  return index % 2 === 1 ? (programOfHalf ?? program) : program;
}

/** What a run came to. */
export interface SoakReport {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly requests: number;
  readonly answered: number;
  readonly versions: number;
  /** Servers that ended under requests. */
  readonly serverEnds: number;
  /** How often a daemon of each program won an election, by the daemons' logs: lines lost with a killed process are not counted. */
  readonly leadershipsWon: ReadonlyMap<string, number>;
  /** The longest that this process, the store and the servers among it, stood still, in ms: beside too much load it is long. */
  readonly longestStall: number;
  readonly troubles: readonly string[];
  /** Where the daemons' logs are; they are kept when a promise was broken. */
  readonly folder: string;
}
