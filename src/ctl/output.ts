/**
 * Output of the operators' command: text for people, or one JSON object for
 * programs. Progress goes to standard error, so that results can be piped.
 */

/** Destination of a command's output. */
export interface Output {
  /** Reports the progress of a wait. */
  reportProgress(text: string): void;
  /** Writes the result of the command. */
  writeResult(text: string, result: Readonly<Record<string, unknown>>): void;
}

/** Writes text for people and omits repeated progress. */
export class TextOutput implements Output {
  private lastProgress = '';

  reportProgress(text: string): void {
    if (text === this.lastProgress) return;
    this.lastProgress = text;
    process.stderr.write(`${text}\n`);
  }

  writeResult(text: string): void {
    process.stdout.write(`${text}\n`);
  }
}

/** Writes one JSON object and no progress. */
export class JsonOutput implements Output {
  reportProgress(): void {}

  writeResult(text: string, result: Readonly<Record<string, unknown>>): void {
    process.stdout.write(`${JSON.stringify({text, ...result})}\n`);
  }
}
