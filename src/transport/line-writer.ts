/**
 * Writes lines to a file descriptor without blocking the process. While the
 * reader is slow or stopped, lines are dropped instead of delaying requests;
 * their number is written once the reader accepts data again.
 */
import {write} from 'node:fs';

/** Maximum size of the lines buffered for a slow reader. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Writes lines to one descriptor. */
export class LineWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private droppedCount = 0;

  constructor(private readonly descriptor: number) {}

  /** Appends a line, or drops and counts it when the buffer is full. */
  write(line: string): void {
    if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.droppedCount += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length + 1;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    if (this.pendingLines.length === 0) return;
    if (this.droppedCount > 0) {
      this.pendingLines.push(`{"droppedLines":${this.droppedCount}}`);
      this.droppedCount = 0;
    }
    const text = Buffer.from(`${this.pendingLines.join('\n')}\n`);
    this.pendingLines = [];
    this.isWriting = true;
    this.writeRest(text, 0);
  }

  private writeRest(text: Buffer, offset: number): void {
    write(
      this.descriptor,
      text,
      offset,
      text.length - offset,
      null,
      (error, size) => {
        const isPipeFull = error?.code === 'EAGAIN';
        if (isPipeFull) {
          setTimeout(() => this.writeRest(text, offset), RETRY_DELAY_MS);
          return;
        }
        // Other errors only end the log: without a reader, the process goes on.
        if (!error && offset + size < text.length) {
          this.writeRest(text, offset + size);
          return;
        }
        this.isWriting = false;
        this.pendingBytes = this.pendingLines.reduce(
          (sum, line) => sum + line.length + 1,
          0,
        );
        this.flush();
      },
    );
  }
}

/** Delay before writing to a full pipe is retried. */
const RETRY_DELAY_MS = 50;
