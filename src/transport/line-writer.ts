/**
 * Writes lines to a file descriptor without blocking the process. While the
 * reader is slow or stopped, lines are dropped instead of delaying requests;
 * their number is written once the reader accepts data again. Lines are gathered
 * for a moment, since each write wakes the process again; a process that is
 * killed loses those of that moment.
 */
import {write, writeSync} from 'node:fs';

/** Maximum size of the lines buffered for a slow reader. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Time over which lines are gathered into one write. */
const GATHER_MS = 50;

/** Writes lines to one descriptor. */
export class LineWriter {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private droppedCount = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly descriptor: number) {}

  /** Appends a line, or drops and counts it when the buffer is full. */
  write(line: string): void {
    if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.droppedCount += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length + 1;
    if (!this.isWriting) this.scheduleFlush();
  }

  /** Writes the gathered lines before the process exits. */
  close(): void {
    clearTimeout(this.timer);
    if (this.isWriting || this.pendingLines.length === 0) return;
    const text = this.takePending();
    try {
      writeSync(this.descriptor, text);
    } catch {
      // Without a reader there is nobody to write for.
    }
  }

  private scheduleFlush(): void {
    this.timer ??= setTimeout(() => this.flush(), GATHER_MS);
  }

  private takePending(): Buffer {
    if (this.droppedCount > 0) {
      this.pendingLines.push(`{"droppedLines":${this.droppedCount}}`);
      this.droppedCount = 0;
    }
    const text = Buffer.from(`${this.pendingLines.join('\n')}\n`);
    this.pendingLines = [];
    return text;
  }

  private flush(): void {
    this.timer = undefined;
    if (this.pendingLines.length === 0) return;
    this.isWriting = true;
    this.writeRest(this.takePending(), 0);
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
        if (this.pendingLines.length > 0) this.scheduleFlush();
      },
    );
  }
}

/** Delay before writing to a full pipe is retried. */
const RETRY_DELAY_MS = 50;
