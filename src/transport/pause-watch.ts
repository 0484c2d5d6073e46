/**
 * Tells when a caller pauses for too long within a body. Time in which this
 * node itself holds the body back does not count.
 */
import type {IncomingMessage} from 'node:http';
import {Reason, RefusalError} from '../protocol/reasons.js';

/** Watches one message's body. */
export class PauseWatch {
  /** Rejects with a RefusalError at a pause that is too long. */
  readonly failed: Promise<never>;
  private timer: NodeJS.Timeout | undefined;
  private refuse: (error: RefusalError) => void = () => {};
  private readonly handlePart = (): void => void this.timer?.refresh();

  constructor(
    private readonly message: IncomingMessage,
    limitMs: number,
  ) {
    this.failed = new Promise((resolve, reject) => (this.refuse = reject));
    // Nobody may be waiting any more when it fails.
    this.failed.catch(() => {});
    this.timer = setTimeout(() => this.check(), limitMs);
    message.on('data', this.handlePart);
    message.once('close', () => this.stop());
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.message.off('data', this.handlePart);
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
