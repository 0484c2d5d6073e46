/**
 * Writes lines to a file descriptor without blocking the process. While the
 * reader is slow or stopped, lines are dropped instead of delaying requests;
 * their number is written once the reader accepts data again.
 */
import {write} from 'node:fs';

/** Maximum size of the lines buffered for a slow reader. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Writes lines to one descriptor. */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private dropped = 0;

  constructor(private readonly descriptor: number) {}

  /** Appends a line, or drops and counts it when the buffer is full. */
  write(line: string): void {
    if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length + 1;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    if (this.waiting.length === 0) return;
    if (this.dropped > 0) {
      this.waiting.push(`{"droppedLines":${this.dropped}}`);
      this.dropped = 0;
    }
    const text = Buffer.from(`${this.waiting.join('\n')}\n`);
    this.waiting = [];
    this.isWriting = true;
    this.writeRest(text, 0);
  }

  private writeRest(text: Buffer, from: number): void {
    write(
      this.descriptor,
      text,
      from,
      text.length - from,
      null,
      (error, size) => {
        const isBusy = error?.code === 'EAGAIN';
        if (isBusy) {
          setTimeout(() => this.writeRest(text, from), RETRY_MS);
          return;
        }
        // Other errors only end the log: without a reader, the process goes on.
        if (!error && from + size < text.length) {
          this.writeRest(text, from + size);
          return;
        }
        this.isWriting = false;
        this.waitingBytes = this.waiting.reduce(
          (sum, line) => sum + line.length + 1,
          0,
        );
        this.flush();
      },
    );
  }
}

/** Delay before writing to a full pipe is retried. */
const RETRY_MS = 50;
