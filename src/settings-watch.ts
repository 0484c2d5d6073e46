/**
 * Notices changes of a settings file that no signal tells of. The file is asked
 * for regularly, since not every platform has notifications of changes. A file
 * that differs is read once it has stayed the same from one check to the next,
 * as it may still be being written.
 */
import {statSync} from 'node:fs';

const CHECK_INTERVAL_MS = 1000;
const MISSING = 'missing';

/** Watches one file. */
export class SettingsWatch {
  /** The state of the file when it was read last. */
  private readState: string;
  /** Another state that the file had at the last check. */
  private changedState: string | undefined;
  private timer: NodeJS.Timeout | undefined;

  /** Create it before the file is read. */
  constructor(
    private readonly file: string,
    private readonly handleChange: () => void,
  ) {
    this.readState = readFileState(file);
  }

  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Handles the file at once, because a signal says that it has changed. */
  checkNow(): void {
    this.readState = readFileState(this.file);
    this.changedState = undefined;
    this.handleChange();
  }

  /** Handles the file if it has changed and is no longer being written. */
  check(): void {
    const state = readFileState(this.file);
    if (state === this.readState) this.changedState = undefined;
    else if (state === this.changedState) this.checkNow();
    else this.changedState = state;
  }
}

/** Describes a file by what changes when it is written or replaced. */
function readFileState(file: string): string {
  try {
    const {mtimeMs, ctimeMs, size, ino} = statSync(file);
    return [mtimeMs, ctimeMs, size, ino].join(' ');
  } catch {
    return MISSING;
  }
}
