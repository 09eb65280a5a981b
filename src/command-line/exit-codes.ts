/**
 * Exit codes of the command line; docs/operators/install-and-run.md lists them.
 */

/** Done. */
export const EXIT_OK = 0;
/** A command was refused, a check failed, or a promise was broken in a simulation. */
export const EXIT_FAILED = 1;
/** The input was wrong: a settings file, a statement, a flag. */
export const EXIT_BAD_INPUT = 2;
/** A daemon or a port could not be reached or opened. */
export const EXIT_UNREACHABLE = 3;
