/**
 * Detects a caller that pauses for too long within a body. Time in which this
 * node itself has paused reading does not count.
 */
import type {IncomingMessage} from 'node:http';
import {Reason, RefusalError} from '../protocol/reasons.js';
import {runAfterReads} from './run-after-reads.js';

/** Limits the pauses within one message's body. */
export class BodyPauseTimer {
  /** Rejects with a RefusalError when a pause exceeds the limit. */
  readonly failed: Promise<never>;
  private timer: NodeJS.Timeout | undefined;
  private refuse: (error: RefusalError) => void = () => {};
  private cancelCheck: () => void = () => {};
  private readonly handleChunk = (): void => {
    this.cancelCheck();
    this.timer?.refresh();
  };

  constructor(
    private readonly message: IncomingMessage,
    maxPauseMs: number,
  ) {
    this.failed = new Promise((resolve, reject) => (this.refuse = reject));
    // Avoids an unhandled rejection when nothing awaits it any more.
    this.failed.catch(() => {});
    this.timer = setTimeout(() => {
      this.cancelCheck = runAfterReads(() => this.check());
    }, maxPauseMs);
    message.on('data', this.handleChunk);
    message.once('close', () => this.stop());
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.timer);
    this.cancelCheck();
    this.timer = undefined;
    this.message.off('data', this.handleChunk);
  }

  private check(): void {
    if (this.message.isPaused()) {
      this.timer?.refresh();
      return;
    }
    this.stop();
    this.refuse(new RefusalError(Reason.BODY_TOO_SLOW));
  }
}
