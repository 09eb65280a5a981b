/**
 * Exit codes of the command line; docs/operators/install-and-run.md lists them.
 */

/** The command succeeded. */
export const EXIT_OK = 0;
/** A command was rejected, a check failed, or a simulation violated a guarantee. */
export const EXIT_FAILED = 1;
/** Invalid input: a settings file, a statement or a flag. */
export const EXIT_BAD_INPUT = 2;
/** A daemon could not be reached, or a port could not be opened. */
export const EXIT_UNREACHABLE = 3;
