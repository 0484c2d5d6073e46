/**
 * Exit codes of the operators' command. Scripts match on them, so none is
 * renumbered or reused.
 */

/** Exit codes by the outcome of a command. */
export const ExitCode = {
  SUCCESS: 0,
  /** An error without a code of its own. */
  FAILURE: 1,
  /** Invalid arguments, settings or published file. */
  USAGE: 2,
  /** Another operator's record came first; nothing was changed. */
  SUPERSEDED: 3,
  /** Accepted, but not known to be in force at every node in time. */
  NOT_IN_FORCE: 4,
  /** The platform log did not accept the record in time. */
  LOG_UNAVAILABLE: 5,
  /** The move that was followed was taken back. */
  TAKEN_BACK: 6,
  /** The requested object does not exist, or no node answers. */
  NOT_FOUND: 7,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Error that ends a command with an exit code. */
export class ControlError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'ControlError';
  }
}
