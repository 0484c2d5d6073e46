/**
 * Exit codes of the operators' command. Scripts match on them, so none is
 * renumbered or reused.
 */

/** Exit code of each way in which a command ends. */
export const ExitCode = {
  SUCCESS: 0,
  /** A fault that none of the others names. */
  FAILURE: 1,
  /** Arguments, settings or a published file that cannot be used. */
  USAGE: 2,
  /** Another operator's record came first; nothing was changed. */
  SUPERSEDED: 3,
  /** Accepted, but not known to be in force at every node in time. */
  NOT_IN_FORCE: 4,
  /** The platform log did not take the record in time. */
  LOG_UNAVAILABLE: 5,
  /** The move that was followed was taken back. */
  TAKEN_BACK: 6,
  /** What was asked for does not exist, or no node answers. */
  NOT_FOUND: 7,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** A command that ended otherwise than hoped for. */
export class ControlError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message);
    this.name = 'ControlError';
  }
}
